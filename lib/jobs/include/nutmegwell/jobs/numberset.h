#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegwell::jobs {

/// Consecutive numbers from First_ on, without End_.
struct NumberRange {
  std::uint64_t First_ = 0;
  std::uint64_t End_ = 0;

  bool empty() const { return First_ >= End_; }
  std::uint64_t count() const { return empty() ? 0 : End_ - First_; }
  bool contains(std::uint64_t Number) const {
    return First_ <= Number && Number < End_;
  }
  friend bool operator==(const NumberRange &A, const NumberRange &B) {
    return A.First_ == B.First_ && A.End_ == B.End_;
  }
};

/// Returns the numbers that both ranges contain.
NumberRange intersection(NumberRange A, NumberRange B);

/// A set of numbers. Memory and encoding go by the number of gaps, not by the
/// number of members; lookups take logarithmic time.
class NumberSet {
public:
  void insert(std::uint64_t Number) { insert({Number, Number + 1}); }
  void insert(NumberRange Range);
  void clear() { Ends_.clear(); }

  bool empty() const { return Ends_.empty(); }
  bool contains(std::uint64_t Number) const;
  /// Returns the number of members.
  std::uint64_t count() const { return countIn({0, UINT64_MAX}); }
  /// Returns the number of members in \p Range.
  std::uint64_t countIn(NumberRange Range) const;
  /// Returns the first number from \p From on that is not a member.
  std::uint64_t firstMissing(std::uint64_t From) const;
  /// Returns the first range of members from \p From on, cut at \p From, or an
  /// empty range when there is none.
  NumberRange firstRange(std::uint64_t From) const;
  /// Returns the members as ascending ranges with gaps between them.
  std::vector<NumberRange> ranges() const;
  /// Returns the members in \p Range as ascending ranges.
  std::vector<NumberRange> rangesIn(NumberRange Range) const;
  /// Returns the number of ranges.
  std::size_t rangeCount() const { return Ends_.size(); }

  friend bool operator==(const NumberSet &A, const NumberSet &B) {
    return A.Ends_ == B.Ends_;
  }

private:
  /// Ends of the ranges by their first numbers.
  std::map<std::uint64_t, std::uint64_t> Ends_;
};

} // namespace nutmegwell::jobs
