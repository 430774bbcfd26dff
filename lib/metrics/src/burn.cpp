#include "nutmegwell/metrics/burn.h"

namespace nutmegwell::metrics {

namespace {

std::int64_t bucketNumber(const BurnWindows &Windows, core::TimePoint Time) {
  return Time.time_since_epoch() / Windows.Bucket_;
}

std::size_t bucketsIn(const BurnWindows &Windows, core::Duration Window) {
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
  // One bucket more than the window needs, because the newest one is partial.
  if (Series.Ring_.empty())
    Series.Ring_.resize(bucketsIn(Windows, Windows.Long_) + 1);
  const std::int64_t Number = bucketNumber(Windows, Now);
  BurnSeries::Bucket &Bucket =
      Series.Ring_[static_cast<std::size_t>(Number) % Series.Ring_.size()];
  if (Bucket.Number_ > Number)
    return;
  if (Bucket.Number_ < Number)
    Bucket = {Number, OutcomeCounts()};
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

WindowBurn windowBurn(const BurnSeries &Series, const BurnWindows &Windows,
                      core::Duration Window, core::TimePoint Now) {
  const std::int64_t Newest = bucketNumber(Windows, Now);
  const std::int64_t Oldest =
      Newest - static_cast<std::int64_t>(bucketsIn(Windows, Window));
  WindowBurn Result;
  for (const BurnSeries::Bucket &Bucket : Series.Ring_)
    if (Bucket.Number_ >= Oldest && Bucket.Number_ <= Newest)
      addCounts(Result.Counts_, Bucket.Counts_);
  const OutcomeCounts &Counts = Result.Counts_;
  if (Counts.Requests_ > 0)
    Result.ErrorRate_ =
        double(Counts.Refused_ + Counts.Unknown_ + Counts.Slow_) /
        double(Counts.Requests_);
  Result.Burn_ = Result.ErrorRate_ / Series.Objective_.AllowedErrors_;
  return Result;
}

BurnMeter::BurnMeter(Objective Default, BurnWindows Windows)
    : Default_(Default), Windows_(Windows) {}

BurnSeries &BurnMeter::series(const std::string &Account,
                              const std::string &Service) {
  Key Name(Account, Service);
  if (!Series_.count(Name) && Series_.size() >= MaxSeries)
    Name = {OverflowName, OverflowName};
  const auto Added = Series_.try_emplace(std::move(Name));
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
    Row.Short_ = windowBurn(Series, Windows_, Windows_.Short_, Now);
    Row.Long_ = windowBurn(Series, Windows_, Windows_.Long_, Now);
    Row.Alert_ = Row.Short_.Burn_ >= AlertBurn && Row.Long_.Burn_ >= AlertBurn;
    Report.Rows_.push_back(std::move(Row));
  }
  return Report;
}

} // namespace nutmegwell::metrics
