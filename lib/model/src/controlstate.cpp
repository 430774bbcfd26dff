#include "nutmegwell/model/controlstate.h"

#include "fold.h"

namespace nutmegwell::model {

namespace {

/// Notes the record's sequence number. Returns false for a repeat.
bool noteWriter(ControlState &State, const core::RecordId &Id) {
  auto [Known, Inserted] = State.Writers_.emplace(Id.Writer_, 0);
  if (Inserted) {
    State.WriterOrder_.push_back(Id.Writer_);
    if (State.WriterOrder_.size() > MaxWriters) {
      State.Writers_.erase(State.WriterOrder_.front());
      State.WriterOrder_.pop_front();
    }
  }
  if (Id.Sequence_ <= Known->second)
    return false;
  Known->second = Id.Sequence_;
  return true;
}

} // namespace

FoldResult apply(ControlState &State, const Record &Change, core::Offset At) {
  State.Next_ = At + 1;
  FoldResult Result;
  Result.Id_ = Change.Id_;
  if (!noteWriter(State, Change.Id_)) {
    Result.Code_ = "repeated_record";
    Result.Reason_ = "the writer's sequence number was applied before";
    return Result;
  }
  Verdict Outcome = std::visit(
      [&State](const auto &Body) { return fold(State, Body); }, Change.Body_);
  Result.Accepted_ = Outcome.Code_.empty();
  Result.Code_ = std::move(Outcome.Code_);
  Result.Reason_ = std::move(Outcome.Reason_);
  return Result;
}

bool inService(const ControlState &State, const DomainName &Domain) {
  auto Known = State.Domains_.find(Domain);
  return Known == State.Domains_.end() || Known->second.InService_;
}

Verdict fold(ControlState &State, const SnapshotTaken &Change) {
  if (Change.AsOf_ <= State.LastSnapshot_)
    return {"stale_snapshot", "a later snapshot is in the log"};
  State.LastSnapshot_ = Change.AsOf_;
  return {};
}

} // namespace nutmegwell::model
