#include "nutmegwell/agent/attempts.h"

#include <algorithm>

namespace nutmegwell::agent {

namespace {

using Kind = AttemptDecision::Kind;

AttemptDecision makeReply(model::Frame Frame) {
  AttemptDecision Result;
  Result.Reply_ = std::move(Frame);
  return Result;
}

AttemptDecision makeNotRun(const core::AttemptId &Attempt, const char *Code) {
  return makeReply(model::NotRunFrame{Attempt, Code});
}

AttemptDecision makeUnknown(const core::AttemptId &Attempt, const char *Code) {
  return makeReply(model::OutcomeUnknownFrame{Attempt, Code});
}

/// Returns the entry of \p Attempt, or else that of the attempt that has \p
/// Key, or null when the table has neither.
const std::pair<const core::AttemptId, KnownAttempt> *
findAttempt(const AttemptTable &Table, const core::AttemptId &Attempt,
            const model::IntentKey &Key) {
  auto It = Table.Known_.find(Attempt);
  if (It != Table.Known_.end())
    return &*It;
  auto ByKey = Table.AttemptsByKey_.find(Key);
  return ByKey == Table.AttemptsByKey_.end()
             ? nullptr
             : &*Table.Known_.find(ByKey->second);
}

/// Returns true when \p Attempt may have been evicted from the table.
bool isEvicted(const AttemptTable &Table, const core::AttemptId &Attempt) {
  auto Evicted = Table.Evicted_.find(Attempt.Writer_);
  return Evicted != Table.Evicted_.end() &&
         Attempt.Sequence_ <= Evicted->second.HighestSequence_;
}

/// Returns the bytes of a frame that count towards AttemptBounds::MaxBytes_.
std::size_t sizeOf(const model::Frame &Frame) {
  const auto *Answer = std::get_if<model::AnswerFrame>(&Frame);
  return Answer ? Answer->Body_.size() + Answer->ContentType_.size() : 0;
}

/// Evicts the oldest ended attempt and updates the summary of its writer.
void evictOldest(AttemptTable &Table, core::TimePoint Now) {
  const core::AttemptId Attempt = Table.Ended_.front().second;
  Table.Ended_.pop_front();
  auto It = Table.Known_.find(Attempt);
  Table.AnswerBytes_ -= It->second.AnswerBytes_;
  auto ByKey = Table.AttemptsByKey_.find(It->second.Key_);
  if (ByKey != Table.AttemptsByKey_.end() && ByKey->second == Attempt)
    Table.AttemptsByKey_.erase(ByKey);
  Table.Known_.erase(It);
  EvictedAttempts &Evicted = Table.Evicted_[Attempt.Writer_];
  Evicted.HighestSequence_ =
      std::max(Evicted.HighestSequence_, Attempt.Sequence_);
  Evicted.LastEvictedAt_ = Now;
  if (Table.Evicted_.size() > Table.Bounds_.MaxWriters_) {
    Table.Evicted_.erase(std::min_element(
        Table.Evicted_.begin(), Table.Evicted_.end(),
        [](const auto &A, const auto &B) {
          return A.second.LastEvictedAt_ < B.second.LastEvictedAt_;
        }));
    Table.WriterDropped_ = true;
  }
}

void enforceBounds(AttemptTable &Table, core::TimePoint Now) {
  while (!Table.Ended_.empty() &&
         (Table.Known_.size() > Table.Bounds_.MaxAttempts_ ||
          Table.AnswerBytes_ > Table.Bounds_.MaxBytes_ ||
          Now - Table.Ended_.front().first > Table.Bounds_.MaxAge_))
    evictOldest(Table, Now);
}

/// Stores the outcome of an attempt, so that a query by key can return it.
void storeOutcome(AttemptTable &Table, const core::AttemptId &Attempt,
                  KnownAttempt &Target, model::Frame FinalFrame,
                  core::TimePoint Now) {
  Target.AnswerBytes_ = sizeOf(FinalFrame);
  Target.End_ = std::move(FinalFrame);
  Table.AnswerBytes_ += Target.AnswerBytes_;
  Table.Ended_.emplace_back(Now, Attempt);
  enforceBounds(Table, Now);
}

/// Returns the code with which the agent refuses a new attempt, or null when it
/// accepts the attempt.
const char *refusalCode(const AttemptTable &Table,
                        const model::RequestFrame &Frame, core::TimePoint Now) {
  if (Frame.AgentIncarnation_ != Table.Incarnation_)
    return "other_incarnation";
  const UpstreamStatus Upstream = currentUpstream(Table, Now);
  if (Table.Leaving_ || Upstream.Leaving_)
    return "leaving";
  if (!Upstream.Announced_ || Upstream.Service_ != Frame.Service_)
    return "no_upstream";
  return Upstream.InFlight_ >= Upstream.Slots_ ? "busy" : nullptr;
}

} // namespace

void announceUpstream(AttemptTable &Table, const model::ServiceName &Service,
                      std::uint16_t Port, std::uint32_t Slots,
                      core::TimePoint ValidUntil) {
  UpstreamStatus &Upstream = Table.Upstream_;
  Upstream.Announced_ = true;
  Upstream.Service_ = Service;
  Upstream.Port_ = Port;
  Upstream.Slots_ = Slots;
  Upstream.Leaving_ = false;
  Upstream.ValidUntil_ = ValidUntil;
}

void withdrawUpstream(AttemptTable &Table) { Table.Upstream_.Leaving_ = true; }

UpstreamStatus currentUpstream(const AttemptTable &Table, core::TimePoint Now) {
  UpstreamStatus Result = Table.Upstream_;
  Result.Announced_ = Result.Announced_ && Now < Result.ValidUntil_;
  Result.Leaving_ = Result.Leaving_ || Table.Leaving_;
  return Result;
}

AttemptDecision decideRequest(AttemptTable &Table,
                              const model::RequestFrame &Frame,
                              core::TimePoint Now) {
  enforceBounds(Table, Now);
  model::IntentKey Key;
  if (!Frame.Key_.empty())
    Key = {Frame.Account_, Frame.Key_};
  if (const auto *Found = findAttempt(Table, Frame.Attempt_, Key)) {
    const auto &FinalFrame = Found->second.End_;
    if (FinalFrame && std::holds_alternative<model::NotRunFrame>(*FinalFrame) &&
        Found->first == Frame.Attempt_)
      return makeReply(*FinalFrame);
    return makeUnknown(Frame.Attempt_, "already_started");
  }
  if (isEvicted(Table, Frame.Attempt_))
    return makeUnknown(Frame.Attempt_, "forgotten");
  if (const char *Code = refusalCode(Table, Frame, Now))
    return makeNotRun(Frame.Attempt_, Code);
  Table.Known_[Frame.Attempt_].Key_ = Key;
  if (!Frame.Key_.empty())
    Table.AttemptsByKey_[Key] = Frame.Attempt_;
  ++Table.Upstream_.InFlight_;
  AttemptDecision Result;
  Result.Kind_ = Kind::Run;
  Result.Attempt_ = Frame.Attempt_;
  Result.Port_ = Table.Upstream_.Port_;
  return Result;
}

AttemptDecision decideKeyQuery(AttemptTable &Table,
                               const model::KeyQueryFrame &Frame,
                               core::TimePoint Now) {
  enforceBounds(Table, Now);
  if (Frame.AgentIncarnation_ != Table.Incarnation_)
    return makeUnknown(Frame.Attempt_, "other_incarnation");
  const model::IntentKey Key{Frame.Account_, Frame.Key_};
  if (const auto *Found = findAttempt(Table, Frame.Attempt_, Key)) {
    if (Found->second.End_)
      return makeReply(addressedTo(*Found->second.End_, Frame.Attempt_));
    AttemptDecision Result;
    Result.Kind_ = Kind::Wait;
    Result.Attempt_ = Found->first;
    return Result;
  }
  if (Table.WriterDropped_ || isEvicted(Table, Frame.Attempt_))
    return makeUnknown(Frame.Attempt_, "forgotten");
  model::NotRunFrame Refused{Frame.Attempt_, "not_seen"};
  KnownAttempt &Added = Table.Known_[Frame.Attempt_];
  storeOutcome(Table, Frame.Attempt_, Added, Refused, Now);
  return makeReply(Refused);
}

void finishAttempt(AttemptTable &Table, const core::AttemptId &Attempt,
                   model::Frame FinalFrame, core::TimePoint Now) {
  auto It = Table.Known_.find(Attempt);
  if (It == Table.Known_.end() || It->second.End_)
    return;
  if (Table.Upstream_.InFlight_ > 0)
    --Table.Upstream_.InFlight_;
  const bool HasKey = It->second.Key_ != model::IntentKey();
  // The answer of an attempt without a key is never queried, so only its id is
  // kept, which prevents a second run.
  if (!HasKey && std::holds_alternative<model::AnswerFrame>(FinalFrame))
    FinalFrame = model::OutcomeUnknownFrame{Attempt, "already_started"};
  // The attempt did not run, so another attempt may use the key.
  if (HasKey && std::holds_alternative<model::NotRunFrame>(FinalFrame))
    Table.AttemptsByKey_.erase(It->second.Key_);
  storeOutcome(Table, Attempt, It->second, std::move(FinalFrame), Now);
}

model::Frame addressedTo(model::Frame Frame, const core::AttemptId &Attempt) {
  std::visit(
      [&](auto &Each) {
        using Type = std::decay_t<decltype(Each)>;
        if constexpr (std::is_same_v<Type, model::AnswerFrame> ||
                      std::is_same_v<Type, model::NotRunFrame> ||
                      std::is_same_v<Type, model::OutcomeUnknownFrame>)
          Each.Attempt_ = Attempt;
      },
      Frame);
  return Frame;
}

} // namespace nutmegwell::agent
