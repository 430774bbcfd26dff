#include "fold.h"

namespace nutmegwell::model {

namespace {

/// Returns the intent of \p Key, or null when it belongs to an attempt other
/// than \p Attempt.
Intent *findIntent(ControlState &State, const IntentKey &Key,
                   const core::AttemptId &Attempt) {
  auto It = State.Intents_.find(Key);
  if (It == State.Intents_.end() || It->second.Attempt_ != Attempt)
    return nullptr;
  return &It->second;
}

FoldOutcome unknownIntent() {
  return {"unknown_intent", "the key has no open intent of this attempt"};
}

} // namespace

FoldOutcome fold(ControlState &State, const IntentRecorded &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  auto [It, Inserted] = State.Intents_.emplace(Key, Intent());
  if (!Inserted)
    return {"key_taken", "attempt " + core::toString(It->second.Attempt_) +
                             " already has the key"};
  It->second = Intent{Change.Service_, Change.Attempt_, Change.Agent_,
                      Change.AgentIncarnation_, IntentState::Dispatched};
  return {};
}

FoldOutcome fold(ControlState &State, const IntentReleased &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  Intent *Found = findIntent(State, Key, Change.Attempt_);
  if (!Found || Found->State_ == IntentState::Settled)
    return unknownIntent();
  State.Intents_.erase(Key);
  return {};
}

FoldOutcome fold(ControlState &State, const IntentSettled &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  Intent *Found = findIntent(State, Key, Change.Attempt_);
  if (!Found || Found->State_ == IntentState::Settled)
    return unknownIntent();
  Found->State_ = IntentState::Settled;
  State.SettledIntents_.push_back(Key);
  if (State.SettledIntents_.size() > MaxSettledIntents) {
    State.Intents_.erase(State.SettledIntents_.front());
    State.SettledIntents_.pop_front();
  }
  return {};
}

} // namespace nutmegwell::model
