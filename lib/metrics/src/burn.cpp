#include "nutmegwell/metrics/burn.h"

namespace nutmegwell::metrics {

namespace {

std::int64_t bucketIndex(const BurnWindows &Windows, core::TimePoint Time) {
  return Time.time_since_epoch() / Windows.Bucket_;
}

std::size_t bucketCount(const BurnWindows &Windows, core::Duration Window) {
  return static_cast<std::size_t>(
      (Window + Windows.Bucket_ - core::Duration(1)) / Windows.Bucket_);
}

void addCounts(OutcomeCounts &Sum, const OutcomeCounts &Counts) {
  Sum.Requests_ += Counts.Requests_;
  Sum.Refused_ += Counts.Refused_;
  Sum.Unknown_ += Counts.Unknown_;
  Sum.Slow_ += Counts.Slow_;
  Sum.Cancelled_ += Counts.Cancelled_;
}

constexpr const char *OverflowName = "(other)";

} // namespace

void addRequest(BurnSeries &Series, const BurnWindows &Windows,
                RequestOutcome Outcome, core::Duration Latency,
                core::TimePoint Now) {
  // One bucket more than the window has, because the newest one is incomplete.
  if (Series.Buckets_.empty())
    Series.Buckets_.resize(bucketCount(Windows, Windows.Long_) + 1);
  const std::int64_t Index = bucketIndex(Windows, Now);
  BurnSeries::Bucket &Bucket =
      Series.Buckets_[static_cast<std::size_t>(Index) % Series.Buckets_.size()];
  if (Bucket.Index_ > Index)
    return;
  if (Bucket.Index_ < Index)
    Bucket = {Index, OutcomeCounts()};
  OutcomeCounts &Counts = Bucket.Counts_;
  if (Outcome == RequestOutcome::Cancelled) {
    ++Counts.Cancelled_;
    return;
  }
  ++Counts.Requests_;
  if (Outcome == RequestOutcome::Refused)
    ++Counts.Refused_;
  else if (Outcome == RequestOutcome::Unknown)
    ++Counts.Unknown_;
  else if (Latency > Series.Objective_.Latency_)
    ++Counts.Slow_;
}

WindowBurnRate computeBurnRate(const BurnSeries &Series,
                               const BurnWindows &Windows,
                               core::Duration Window, core::TimePoint Now) {
  const std::int64_t Newest = bucketIndex(Windows, Now);
  const std::int64_t Oldest =
      Newest - static_cast<std::int64_t>(bucketCount(Windows, Window));
  WindowBurnRate Result;
  for (const BurnSeries::Bucket &Bucket : Series.Buckets_)
    if (Bucket.Index_ >= Oldest && Bucket.Index_ <= Newest)
      addCounts(Result.Counts_, Bucket.Counts_);
  const OutcomeCounts &Counts = Result.Counts_;
  if (Counts.Requests_ > 0)
    Result.ErrorRate_ =
        double(Counts.Refused_ + Counts.Unknown_ + Counts.Slow_) /
        double(Counts.Requests_);
  Result.BurnRate_ = Result.ErrorRate_ / Series.Objective_.AllowedErrors_;
  return Result;
}

BurnMeter::BurnMeter(Objective Default, BurnWindows Windows)
    : Default_(Default), Windows_(Windows) {}

BurnSeries &BurnMeter::series(const std::string &Account,
                              const std::string &Service) {
  Key SeriesKey(Account, Service);
  if (!Series_.count(SeriesKey) && Series_.size() >= MaxSeries)
    SeriesKey = {OverflowName, OverflowName};
  const auto Added = Series_.try_emplace(std::move(SeriesKey));
  if (Added.second)
    Added.first->second.Objective_ = Default_;
  return Added.first->second;
}

void BurnMeter::setObjective(const std::string &Account,
                             const std::string &Service, Objective Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  series(Account, Service).Objective_ = Value;
}

void BurnMeter::record(const std::string &Account, const std::string &Service,
                       RequestOutcome Outcome, core::Duration Latency,
                       core::TimePoint Now) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  addRequest(series(Account, Service), Windows_, Outcome, Latency, Now);
}

BurnReport BurnMeter::report(core::TimePoint Now) const {
  BurnReport Report;
  Report.Windows_ = Windows_;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &Entry : Series_) {
    const BurnSeries &Series = Entry.second;
    BurnRow Row;
    Row.Account_ = Entry.first.first;
    Row.Service_ = Entry.first.second;
    Row.Objective_ = Series.Objective_;
    Row.Short_ = computeBurnRate(Series, Windows_, Windows_.Short_, Now);
    Row.Long_ = computeBurnRate(Series, Windows_, Windows_.Long_, Now);
    Row.Alert_ = Row.Short_.BurnRate_ >= AlertBurnRate &&
                 Row.Long_.BurnRate_ >= AlertBurnRate;
    Report.Rows_.push_back(std::move(Row));
  }
  return Report;
}

} // namespace nutmegwell::metrics
