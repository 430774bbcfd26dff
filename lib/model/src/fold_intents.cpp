#include "fold.h"

namespace nutmegwell::model {

namespace {

/// Returns the intent when \p Attempt is the one on record for \p Key.
Intent *findIntent(ControlState &State, const IntentKey &Key,
                   const core::AttemptId &Attempt) {
  auto Known = State.Intents_.find(Key);
  if (Known == State.Intents_.end() || Known->second.Attempt_ != Attempt)
    return nullptr;
  return &Known->second;
}

Verdict unknownIntent() {
  return {"unknown_intent", "the key has no intent of this attempt"};
}

} // namespace

Verdict fold(ControlState &State, const IntentRecorded &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  auto [Known, Inserted] = State.Intents_.emplace(Key, Intent());
  if (!Inserted)
    return {"key_taken", "attempt " + core::toString(Known->second.Attempt_) +
                             " has the key"};
  Known->second = Intent{Change.Service_, Change.Attempt_, Change.Agent_,
                         Change.AgentIncarnation_, IntentState::Dispatched};
  return {};
}

Verdict fold(ControlState &State, const IntentReleased &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  Intent *Known = findIntent(State, Key, Change.Attempt_);
  if (!Known || Known->State_ == IntentState::Settled)
    return unknownIntent();
  State.Intents_.erase(Key);
  return {};
}

Verdict fold(ControlState &State, const IntentSettled &Change) {
  IntentKey Key{Change.Account_, Change.Key_};
  Intent *Known = findIntent(State, Key, Change.Attempt_);
  if (!Known || Known->State_ == IntentState::Settled)
    return unknownIntent();
  Known->State_ = IntentState::Settled;
  State.SettledIntents_.push_back(Key);
  if (State.SettledIntents_.size() > MaxSettledIntents) {
    State.Intents_.erase(State.SettledIntents_.front());
    State.SettledIntents_.pop_front();
  }
  return {};
}

} // namespace nutmegwell::model
