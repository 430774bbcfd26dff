#include "nutmegwell/model/controlstate.h"

#include "fold.h"
#include <algorithm>
#include <iterator>
#include <type_traits>

namespace nutmegwell::model {

namespace {

/// Moves \p Writer to the end of the order. Writers of recent records are few
/// and near the end, where the search begins.
void noteLatest(ControlState &State, core::Incarnation Writer) {
  auto &Order = State.WriterOrder_;
  auto Known = std::find(Order.rbegin(), Order.rend(), Writer);
  if (Known != Order.rend())
    std::rotate(std::prev(Known.base()), Known.base(), Order.end());
}

/// Notes the record's sequence number. Returns false for a repeat.
bool noteWriter(ControlState &State, const core::RecordId &Id) {
  auto [Known, Inserted] = State.LastSequences_.emplace(Id.Writer_, 0);
  if (Inserted) {
    State.WriterOrder_.push_back(Id.Writer_);
    if (State.WriterOrder_.size() > MaxWriters) {
      State.LastSequences_.erase(State.WriterOrder_.front());
      State.WriterOrder_.pop_front();
    }
  }
  if (Id.Sequence_ <= Known->second)
    return false;
  Known->second = Id.Sequence_;
  noteLatest(State, Id.Writer_);
  return true;
}

/// True for the records that only the holder of a cell writes.
template <typename Body, typename = void> struct OfHolder : std::false_type {};
template <typename Body>
struct OfHolder<Body, std::void_t<decltype(Body::Term_)>>
    : std::bool_constant<!std::is_same_v<Body, CellClaimed>> {};

/// Rejects a record of the term in force from a writer that does not hold the
/// cell, such as one whose claim of that term lost the race.
template <typename Body>
Verdict checkHolder(const ControlState &State, const Body &Change,
                    core::Incarnation Writer) {
  if constexpr (OfHolder<Body>::value) {
    auto Known = State.Cells_.find(Change.Domain_);
    if (Known != State.Cells_.end() && Known->second.Term_ == Change.Term_ &&
        Known->second.HolderIncarnation_ != Writer)
      return {"not_holder", "cell " + Change.Domain_ + " is held by " +
                                Known->second.Holder_};
  }
  return {};
}

} // namespace

FoldResult applyRecord(ControlState &State, const Record &Change,
                       core::Offset At) {
  State.NextOffset_ = At + 1;
  FoldResult Result;
  Result.Id_ = Change.Id_;
  if (!noteWriter(State, Change.Id_)) {
    Result.Code_ = "repeated_record";
    Result.Reason_ = "the writer's sequence number was applied before";
    return Result;
  }
  Verdict Outcome = std::visit(
      [&](const auto &Body) {
        Verdict Found = checkHolder(State, Body, Change.Id_.Writer_);
        return Found.Code_.empty() ? fold(State, Body) : Found;
      },
      Change.Body_);
  Result.Accepted_ = Outcome.Code_.empty();
  Result.Code_ = std::move(Outcome.Code_);
  Result.Reason_ = std::move(Outcome.Reason_);
  return Result;
}

bool isInService(const ControlState &State, const DomainName &Domain) {
  auto Known = State.Domains_.find(Domain);
  return Known == State.Domains_.end() || Known->second.InService_;
}

Verdict fold(ControlState &State, const SnapshotTaken &Change) {
  // NextOffset_ is already the offset after the snapshot's own entry.
  if (Change.LastIncludedOffset_ >= State.NextOffset_ - 1)
    return {"future_snapshot", "the snapshot claims entries after itself"};
  if (Change.LastIncludedOffset_ <= State.LastSnapshotOffset_)
    return {"stale_snapshot", "a later snapshot is in the log"};
  State.LastSnapshotOffset_ = Change.LastIncludedOffset_;
  return {};
}

} // namespace nutmegwell::model
