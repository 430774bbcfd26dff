#include "nutmegwell/model/controlstate.h"

#include "fold.h"
#include <algorithm>
#include <iterator>
#include <type_traits>

namespace nutmegwell::model {

namespace {

/// Moves \p Writer to the end of the order. The search begins at the end, since
/// the writers of recent records are few and close to it.
void moveToNewest(ControlState &State, core::Incarnation Writer) {
  auto &Order = State.WriterOrder_;
  auto It = std::find(Order.rbegin(), Order.rend(), Writer);
  if (It != Order.rend())
    std::rotate(std::prev(It.base()), It.base(), Order.end());
}

/// Stores the record's sequence number. Returns false for a repeated record.
bool recordSequence(ControlState &State, const core::RecordId &Id) {
  auto [It, Inserted] = State.LastSequences_.emplace(Id.Writer_, 0);
  if (Inserted) {
    State.WriterOrder_.push_back(Id.Writer_);
    if (State.WriterOrder_.size() > MaxWriters) {
      State.LastSequences_.erase(State.WriterOrder_.front());
      State.WriterOrder_.pop_front();
    }
  }
  if (Id.Sequence_ <= It->second)
    return false;
  It->second = Id.Sequence_;
  moveToNewest(State, Id.Writer_);
  return true;
}

/// True for the record types that only the holder of a cell may write.
template <typename Body, typename = void>
struct WrittenByHolder : std::false_type {};
template <typename Body>
struct WrittenByHolder<Body, std::void_t<decltype(Body::Term_)>>
    : std::bool_constant<!std::is_same_v<Body, CellClaimed>> {};

/// Rejects a record of the current term from a writer that does not hold the
/// cell, such as one whose claim of that term was rejected in favour of
/// another.
template <typename Body>
FoldOutcome checkHolder(const ControlState &State, const Body &Change,
                        core::Incarnation Writer) {
  if constexpr (WrittenByHolder<Body>::value) {
    auto It = State.Cells_.find(Change.Domain_);
    if (It != State.Cells_.end() && It->second.Term_ == Change.Term_ &&
        It->second.HolderIncarnation_ != Writer)
      return {"not_holder",
              "cell " + Change.Domain_ + " is held by " + It->second.Holder_};
  }
  return {};
}

} // namespace

FoldResult applyRecord(ControlState &State, const Record &Change,
                       core::Offset At) {
  State.NextOffset_ = At + 1;
  FoldResult Result;
  Result.Id_ = Change.Id_;
  if (!recordSequence(State, Change.Id_)) {
    Result.Code_ = "repeated_record";
    Result.Reason_ = "a record of the writer with this or a higher sequence "
                     "number is applied";
    return Result;
  }
  FoldOutcome Outcome = std::visit(
      [&](const auto &Body) {
        FoldOutcome Rejection = checkHolder(State, Body, Change.Id_.Writer_);
        return Rejection.Code_.empty() ? fold(State, Body) : Rejection;
      },
      Change.Body_);
  Result.Accepted_ = Outcome.Code_.empty();
  Result.Code_ = std::move(Outcome.Code_);
  Result.Reason_ = std::move(Outcome.Reason_);
  return Result;
}

bool isInService(const ControlState &State, const DomainName &Domain) {
  auto It = State.Domains_.find(Domain);
  return It == State.Domains_.end() || It->second.InService_;
}

FoldOutcome fold(ControlState &State, const SnapshotTaken &Change) {
  // NextOffset_ is already the offset after the entry of the snapshot itself.
  if (Change.LastIncludedOffset_ >= State.NextOffset_ - 1)
    return {"future_snapshot",
            "the snapshot includes offsets that are not below its own"};
  if (Change.LastIncludedOffset_ <= State.LastSnapshotOffset_)
    return {"stale_snapshot",
            "the log has a snapshot of this or a later offset"};
  State.LastSnapshotOffset_ = Change.LastIncludedOffset_;
  return {};
}

} // namespace nutmegwell::model
