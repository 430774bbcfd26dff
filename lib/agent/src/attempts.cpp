#include "nutmegwell/agent/attempts.h"

#include <algorithm>

namespace nutmegwell::agent {

namespace {

using Kind = AttemptDecision::Kind;

AttemptDecision reply(model::Frame Frame) {
  AttemptDecision Result;
  Result.Reply_ = std::move(Frame);
  return Result;
}

AttemptDecision notRun(const core::AttemptId &Attempt, const char *Code) {
  return reply(model::NotRunFrame{Attempt, Code});
}

AttemptDecision unknown(const core::AttemptId &Attempt, const char *Code) {
  return reply(model::OutcomeUnknownFrame{Attempt, Code});
}

/// Returns what is known of \p Attempt, or else of the attempt that has the
/// key; null when neither was seen.
const std::pair<const core::AttemptId, KnownAttempt> *
findAttempt(const AttemptTable &Table, const core::AttemptId &Attempt,
            const model::IntentKey &Key) {
  auto Known = Table.Known_.find(Attempt);
  if (Known != Table.Known_.end())
    return &*Known;
  auto Taken = Table.Keys_.find(Key);
  return Taken == Table.Keys_.end() ? nullptr
                                    : &*Table.Known_.find(Taken->second);
}

bool forgotten(const AttemptTable &Table, const core::AttemptId &Attempt) {
  auto Writer = Table.Forgotten_.find(Attempt.Writer_);
  return Writer != Table.Forgotten_.end() &&
         Attempt.Sequence_ <= Writer->second.Highest_;
}

std::size_t sizeOf(const model::Frame &Frame) {
  const auto *Answer = std::get_if<model::AnswerFrame>(&Frame);
  return Answer ? Answer->Body_.size() + Answer->ContentType_.size() : 0;
}

void forgetOldest(AttemptTable &Table, core::TimePoint Now) {
  const core::AttemptId Attempt = Table.Ended_.front().second;
  Table.Ended_.pop_front();
  auto Known = Table.Known_.find(Attempt);
  Table.Bytes_ -= Known->second.Bytes_;
  auto Taken = Table.Keys_.find(Known->second.Key_);
  if (Taken != Table.Keys_.end() && Taken->second == Attempt)
    Table.Keys_.erase(Taken);
  Table.Known_.erase(Known);
  ForgottenAttempts &Writer = Table.Forgotten_[Attempt.Writer_];
  Writer.Highest_ = std::max(Writer.Highest_, Attempt.Sequence_);
  Writer.Last_ = Now;
  if (Table.Forgotten_.size() > Table.Bounds_.MaxWriters_) {
    Table.Forgotten_.erase(
        std::min_element(Table.Forgotten_.begin(), Table.Forgotten_.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.Last_ < B.second.Last_;
                         }));
    Table.ForgotWriters_ = true;
  }
}

void keepBounds(AttemptTable &Table, core::TimePoint Now) {
  while (!Table.Ended_.empty() &&
         (Table.Known_.size() > Table.Bounds_.MaxAttempts_ ||
          Table.Bytes_ > Table.Bounds_.MaxBytes_ ||
          Now - Table.Ended_.front().first > Table.Bounds_.MaxAge_))
    forgetOldest(Table, Now);
}

/// Remembers an ended attempt.
void keepEnd(AttemptTable &Table, const core::AttemptId &Attempt,
             KnownAttempt &Known, model::Frame End, core::TimePoint Now) {
  Known.Bytes_ = sizeOf(End);
  Known.End_ = std::move(End);
  Table.Bytes_ += Known.Bytes_;
  Table.Ended_.emplace_back(Now, Attempt);
  keepBounds(Table, Now);
}

/// Returns the code of a refusal, or null when a slot is free.
const char *refusal(const AttemptTable &Table, const model::RequestFrame &Frame,
                    core::TimePoint Now) {
  if (Frame.AgentIncarnation_ != Table.Incarnation_)
    return "other_incarnation";
  const UpstreamStatus Upstream = upstreamAt(Table, Now);
  if (Table.Leaving_ || Upstream.Leaving_)
    return "leaving";
  if (!Upstream.Announced_ || Upstream.Service_ != Frame.Service_)
    return "no_upstream";
  return Upstream.InFlight_ >= Upstream.Slots_ ? "busy" : nullptr;
}

} // namespace

void announceUpstream(AttemptTable &Table, const model::ServiceName &Service,
                      std::uint16_t Port, std::uint32_t Slots,
                      core::TimePoint Until) {
  UpstreamStatus &Upstream = Table.Upstream_;
  Upstream.Announced_ = true;
  Upstream.Service_ = Service;
  Upstream.Port_ = Port;
  Upstream.Slots_ = Slots;
  Upstream.Leaving_ = false;
  Upstream.ValidUntil_ = Until;
}

void withdrawUpstream(AttemptTable &Table) { Table.Upstream_.Leaving_ = true; }

UpstreamStatus upstreamAt(const AttemptTable &Table, core::TimePoint Now) {
  UpstreamStatus Result = Table.Upstream_;
  Result.Announced_ = Result.Announced_ && Now < Result.ValidUntil_;
  Result.Leaving_ = Result.Leaving_ || Table.Leaving_;
  return Result;
}

AttemptDecision decideRequest(AttemptTable &Table,
                              const model::RequestFrame &Frame,
                              core::TimePoint Now) {
  keepBounds(Table, Now);
  model::IntentKey Key;
  if (!Frame.Key_.empty())
    Key = {Frame.Account_, Frame.Key_};
  if (const auto *Known = findAttempt(Table, Frame.Attempt_, Key)) {
    const auto &End = Known->second.End_;
    if (End && std::holds_alternative<model::NotRunFrame>(*End) &&
        Known->first == Frame.Attempt_)
      return reply(*End);
    return unknown(Frame.Attempt_, "already_started");
  }
  if (forgotten(Table, Frame.Attempt_))
    return unknown(Frame.Attempt_, "forgotten");
  if (const char *Code = refusal(Table, Frame, Now))
    return notRun(Frame.Attempt_, Code);
  Table.Known_[Frame.Attempt_].Key_ = Key;
  if (!Frame.Key_.empty())
    Table.Keys_[Key] = Frame.Attempt_;
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
  keepBounds(Table, Now);
  if (Frame.AgentIncarnation_ != Table.Incarnation_)
    return unknown(Frame.Attempt_, "other_incarnation");
  const model::IntentKey Key{Frame.Account_, Frame.Key_};
  if (const auto *Known = findAttempt(Table, Frame.Attempt_, Key)) {
    if (Known->second.End_)
      return reply(addressedTo(*Known->second.End_, Frame.Attempt_));
    AttemptDecision Result;
    Result.Kind_ = Kind::Wait;
    Result.Attempt_ = Known->first;
    return Result;
  }
  if (Table.ForgotWriters_ || forgotten(Table, Frame.Attempt_))
    return unknown(Frame.Attempt_, "forgotten");
  model::NotRunFrame Refused{Frame.Attempt_, "not_seen"};
  KnownAttempt &Known = Table.Known_[Frame.Attempt_];
  keepEnd(Table, Frame.Attempt_, Known, Refused, Now);
  return reply(Refused);
}

void finishAttempt(AttemptTable &Table, const core::AttemptId &Attempt,
                   model::Frame End, core::TimePoint Now) {
  auto Known = Table.Known_.find(Attempt);
  if (Known == Table.Known_.end() || Known->second.End_)
    return;
  if (Table.Upstream_.InFlight_ > 0)
    --Table.Upstream_.InFlight_;
  const bool Keyed = Known->second.Key_ != model::IntentKey();
  // Nobody asks for the answer of an attempt without a key; its id is kept, so
  // that it does not run twice.
  if (!Keyed && std::holds_alternative<model::AnswerFrame>(End))
    End = model::OutcomeUnknownFrame{Attempt, "already_started"};
  // An attempt that did not run leaves the key to the next one.
  if (Keyed && std::holds_alternative<model::NotRunFrame>(End))
    Table.Keys_.erase(Known->second.Key_);
  keepEnd(Table, Attempt, Known->second, std::move(End), Now);
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
