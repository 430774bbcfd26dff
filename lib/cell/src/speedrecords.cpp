#include "nutmegwell/cell/speedrecords.h"
#include "holdersteps.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::cell {

namespace {

bool isValid(const SpeedRecordPolicy &Policy, const jobs::LearnedSpeed &Row) {
  return std::isfinite(Row.Speed_) && Row.Speed_ >= 1 / Policy.MaxSpeed_ &&
         Row.Speed_ <= Policy.MaxSpeed_ && std::isfinite(Row.LogError_) &&
         Row.LogError_ > 0;
}

bool hasChanged(const SpeedRecords &Recorded, const jobs::LearnedSpeed &Row) {
  auto It = Recorded.Rows_.find(Row.Host_);
  if (It == Recorded.Rows_.end() ||
      It->second.Row_.WorkerIncarnation_ != Row.WorkerIncarnation_)
    return true;
  return std::abs(std::log(Row.Speed_ / It->second.Row_.Speed_)) >
         Row.LogError_;
}

/// Assigns records to workers that have no row yet.
class Assignment {
public:
  Assignment(const SpeedRecordPolicy &Policy, SpeedRecords &Recorded,
             const SpeedsToRecord &Current)
      : Policy_(Policy), Recorded_(Recorded), Current_(Current),
        RowCounts_((Current.Workers_.size() + Policy.MaxRows_ - 1) /
                   Policy.MaxRows_) {
    for (const auto &[Host, Row] : Recorded.Rows_)
      if (Row.Number_ < RowCounts_.size())
        ++RowCounts_[Row.Number_];
  }

  /// Adds an empty row for \p Host. Returns false when there is no room for
  /// now.
  bool add(const std::string &Host) {
    auto Free = std::find_if(
        RowCounts_.begin(), RowCounts_.end(),
        [&](std::size_t Count) { return Count < Policy_.MaxRows_; });
    if (Free != RowCounts_.end()) {
      ++*Free;
      Recorded_.Rows_[Host].Number_ =
          static_cast<std::uint32_t>(Free - RowCounts_.begin());
      return true;
    }
    auto Unused = unusedRow();
    if (Unused == Recorded_.Rows_.end())
      return false;
    const std::uint32_t Number = Unused->second.Number_;
    Recorded_.Rows_.erase(Unused);
    Recorded_.Rows_[Host].Number_ = Number;
    return true;
  }

private:
  /// Returns a row of a worker that does not exist, in one of the records that
  /// may be used.
  std::map<std::string, RecordedSpeed>::iterator unusedRow() {
    if (!Current_.MayReplace_)
      return Recorded_.Rows_.end();
    return std::find_if(Recorded_.Rows_.begin(), Recorded_.Rows_.end(),
                        [&](const auto &Entry) {
                          return Entry.second.Number_ < RowCounts_.size() &&
                                 Current_.Workers_.count(Entry.first) == 0;
                        });
  }

  const SpeedRecordPolicy &Policy_;
  SpeedRecords &Recorded_;
  const SpeedsToRecord &Current_;
  /// Rows in use, by record.
  std::vector<std::size_t> RowCounts_;
};

/// Returns the number that is contained most often, the lowest one of several.
std::uint32_t
mostFrequent(const std::map<std::uint32_t, std::size_t> &Frequencies) {
  return std::max_element(
             Frequencies.begin(), Frequencies.end(),
             [](const auto &A, const auto &B) { return A.second < B.second; })
      ->first;
}

} // namespace

SpeedRecords readSpeedRecords(
    const SpeedRecordPolicy &Policy,
    const std::map<std::uint32_t, std::vector<jobs::LearnedSpeed>> &Records) {
  SpeedRecords Result;
  for (const auto &[Number, Rows] : Records)
    for (const jobs::LearnedSpeed &Row : Rows) {
      if (!isValid(Policy, Row)) {
        ++Result.IgnoredRows_;
        continue;
      }
      auto [It, Added] =
          Result.Rows_.try_emplace(Row.Host_, RecordedSpeed{Number, Row});
      if (!Added && It->second.Row_.WorkerIncarnation_ < Row.WorkerIncarnation_)
        It->second = {Number, Row};
    }
  return Result;
}

std::optional<expect::WorkerSpeed>
recordedSpeed(const SpeedRecordPolicy &Policy, const SpeedRecords &Recorded,
              const std::string &Host, std::int64_t WorkerIncarnation) {
  auto It = Recorded.Rows_.find(Host);
  if (It == Recorded.Rows_.end() ||
      It->second.Row_.WorkerIncarnation_ != WorkerIncarnation)
    return std::nullopt;
  const jobs::LearnedSpeed &Row = It->second.Row_;
  return expect::WorkerSpeed{Row.Speed_,
                             std::max(Row.LogError_, Policy.MinRestoredError_)};
}

std::optional<jobs::LearnedSpeeds>
nextSpeedRecord(const SpeedRecordPolicy &Policy, SpeedRecords &Recorded,
                const SpeedsToRecord &Current) {
  std::vector<const jobs::LearnedSpeed *> Changed;
  std::map<std::uint32_t, std::size_t> ChangedRows;
  Assignment Numbers(Policy, Recorded, Current);
  for (const jobs::LearnedSpeed &Row : Current.Known_) {
    if (!isValid(Policy, Row) || !hasChanged(Recorded, Row) ||
        (Recorded.Rows_.count(Row.Host_) == 0 && !Numbers.add(Row.Host_)))
      continue;
    Changed.push_back(&Row);
    ++ChangedRows[Recorded.Rows_.at(Row.Host_).Number_];
  }
  if (Changed.empty())
    return std::nullopt;
  jobs::LearnedSpeeds Result;
  Result.Number_ = mostFrequent(ChangedRows);
  for (const jobs::LearnedSpeed *Row : Changed)
    if (RecordedSpeed &Entry = Recorded.Rows_.at(Row->Host_);
        Entry.Number_ == Result.Number_)
      Entry.Row_ = *Row;
  for (const auto &[Host, Entry] : Recorded.Rows_)
    if (Entry.Number_ == Result.Number_ && !Entry.Row_.Host_.empty())
      Result.Workers_.push_back(Entry.Row_);
  return Result;
}

bool isSpeedKnown(const HolderPolicy &Policy,
                  const expect::WorkerSpeed &Speed) {
  return Speed.LogError_ <= Policy.KnownSpeedError_;
}

bool isPresent(const Worker &Host) {
  return Host.Info_ && (Host.Connected_ || Host.Synced_);
}

void forgetSpeed(Holder &State, const std::string &Host) {
  if (!State.Policy_.LearnRunTimes_)
    return;
  expect::forgetWorker(State.Speeds_, Host);
  State.SpeedLog_.Lines_.erase(Host);
}

void resetSpeed(Holder &State, const Worker &Host) {
  if (!State.Policy_.LearnRunTimes_)
    return;
  forgetSpeed(State, Host.Host_);
  if (const auto Known =
          recordedSpeed(State.Policy_.SpeedRecords_, State.SpeedRecords_,
                        Host.Host_, Host.Info_->WorkerIncarnation_))
    expect::restoreSpeed(State.Speeds_, Host.Host_, *Known);
}

void collectSpeeds(Holder &State, core::TimePoint Now, Effects &Out) {
  const SpeedRecordPolicy &Policy = State.Policy_.SpeedRecords_;
  SpeedRecords &Recorded = State.SpeedRecords_;
  if (!State.Policy_.LearnRunTimes_ ||
      (Recorded.CheckedAt_ && Now - *Recorded.CheckedAt_ < Policy.Interval_))
    return;
  Recorded.CheckedAt_ = Now;
  if (Recorded.IgnoredRows_ > 0)
    Out.LogEvents_.push_back(
        {"speed_rows_ignored",
         {{"rows", std::to_string(Recorded.IgnoredRows_)}}});
  Recorded.IgnoredRows_ = 0;
  SpeedsToRecord Current;
  Current.MayReplace_ = Now - State.BegunAt_ > State.Policy_.TenureValidity_;
  for (const auto &[Name, Host] : State.Workers_) {
    if (!isPresent(Host))
      continue;
    Current.Workers_.insert(Name);
    const expect::WorkerSpeed Speed = expect::speedOf(State.Speeds_, Name);
    if (isSpeedKnown(State.Policy_, Speed))
      Current.Known_.push_back({Name, Host.Info_->WorkerIncarnation_,
                                Speed.Speed_, Speed.LogError_});
  }
  if (auto Next = nextSpeedRecord(Policy, Recorded, Current))
    Out.Append_.push_back(*std::move(Next));
}

} // namespace nutmegwell::cell
