#include "nutmegwell/jobs/numberset.h"
#include <algorithm>

namespace nutmegwell::jobs {

NumberRange intersection(NumberRange A, NumberRange B) {
  return {std::max(A.First_, B.First_), std::min(A.End_, B.End_)};
}

void NumberSet::insert(NumberRange Range) {
  if (Range.empty())
    return;
  auto It = Ends_.upper_bound(Range.First_);
  if (It != Ends_.begin() && std::prev(It)->second >= Range.First_) {
    --It;
    Range.First_ = It->first;
  }
  while (It != Ends_.end() && It->first <= Range.End_) {
    Range.End_ = std::max(Range.End_, It->second);
    It = Ends_.erase(It);
  }
  Ends_.emplace_hint(It, Range.First_, Range.End_);
}

bool NumberSet::contains(std::uint64_t Number) const {
  auto It = Ends_.upper_bound(Number);
  return It != Ends_.begin() && Number < std::prev(It)->second;
}

std::uint64_t NumberSet::countIn(NumberRange Range) const {
  std::uint64_t Count = 0;
  for (NumberRange Next = firstRange(Range.First_);
       !Next.empty() && Next.First_ < Range.End_; Next = firstRange(Next.End_))
    Count += intersection(Next, Range).count();
  return Count;
}

std::uint64_t NumberSet::firstMissing(std::uint64_t From) const {
  auto It = Ends_.upper_bound(From);
  if (It == Ends_.begin() || std::prev(It)->second <= From)
    return From;
  return std::prev(It)->second;
}

NumberRange NumberSet::firstRange(std::uint64_t From) const {
  auto It = Ends_.upper_bound(From);
  if (It != Ends_.begin() && std::prev(It)->second > From)
    return {From, std::prev(It)->second};
  if (It == Ends_.end())
    return {};
  return {It->first, It->second};
}

std::vector<NumberRange> NumberSet::ranges() const {
  return rangesIn({0, UINT64_MAX});
}

std::vector<NumberRange> NumberSet::rangesIn(NumberRange Range) const {
  std::vector<NumberRange> Ranges;
  for (NumberRange Next = firstRange(Range.First_);
       !Next.empty() && Next.First_ < Range.End_; Next = firstRange(Next.End_))
    Ranges.push_back(intersection(Next, Range));
  return Ranges;
}

} // namespace nutmegwell::jobs
