#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace nutmegwell::core {

/// Identifier that is unique without coordination: the incarnation of the
/// process that created it and a sequence number of that process.
template <typename Tag> struct UniqueId {
  std::uint64_t Writer_ = 0;
  std::uint64_t Sequence_ = 0;

  bool valid() const { return Writer_ != 0; }
  friend bool operator==(const UniqueId &A, const UniqueId &B) {
    return A.Writer_ == B.Writer_ && A.Sequence_ == B.Sequence_;
  }
  friend bool operator!=(const UniqueId &A, const UniqueId &B) {
    return !(A == B);
  }
  friend bool operator<(const UniqueId &A, const UniqueId &B) {
    return std::tie(A.Writer_, A.Sequence_) < std::tie(B.Writer_, B.Sequence_);
  }
};

/// Returns "WRITER-SEQUENCE", the writer in 16 hexadecimal digits.
std::string formatId(std::uint64_t Writer, std::uint64_t Sequence);

/// Parses the output of formatId. Returns false for any other text, such as one
/// with leading zeros in the sequence.
bool parseId(const std::string &Text, std::uint64_t &Writer,
             std::uint64_t &Sequence);

template <typename Tag> std::string toString(const UniqueId<Tag> &Id) {
  return formatId(Id.Writer_, Id.Sequence_);
}

using RecordId = UniqueId<struct RecordIdTag>;
using JobId = UniqueId<struct JobIdTag>;
/// Identifies one attempt to have an upstream answer a request.
using AttemptId = UniqueId<struct AttemptIdTag>;

/// Random number that a process draws at its start; distinguishes it from
/// earlier processes of the same node.
using Incarnation = std::uint64_t;
/// Number of a holder's tenure of a cell; a higher term fences a lower one.
using Term = std::uint64_t;
/// Position of an entry in the log.
using Offset = std::uint64_t;
/// Version number that a configuration table was published under.
using Version = std::uint64_t;

} // namespace nutmegwell::core

template <typename Tag> struct std::hash<nutmegwell::core::UniqueId<Tag>> {
  std::size_t operator()(const nutmegwell::core::UniqueId<Tag> &Id) const {
    return std::hash<std::uint64_t>()(Id.Writer_ * 0x9E3779B97F4A7C15ULL ^
                                      Id.Sequence_);
  }
};
