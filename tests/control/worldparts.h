#pragma once

#include "world.h"

/// Parts of the world that only its own sources use.
namespace nutmegwell::controltest {

inline bool running(const FakeTask &Task) {
  return Task.State_ == model::TaskState::Running;
}

inline bool paused(const World &All, const Process &Target) {
  return All.Now_ < Target.PausedUntil_;
}

template <typename Host>
Host *hostAt(std::vector<Host> &Hosts, const std::string &Name) {
  for (Host &Candidate : Hosts)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

// Checks.

/// Checks a task that starts; \p AskedAt is when its agent asked the runtime.
void noteStart(World &All, const std::string &Id, const FakeTask &Task,
               TimePoint AskedAt, const std::string &Checkpoint);
/// Ends a task that runs and notes an attempt that is partial from now on.
void endTask(World &All, const std::string &Id, FakeTask &Task,
             model::TaskState Final);
void noteRecord(World &All, const model::Record &Change, bool Accepted);
/// Checks that no version that the host shows is older than before.
void noteShown(World &All, EntryHost &Host);
/// Checks that a look at every gang has the effects \p Out of a tick that
/// started from the state \p Full and skipped gangs.
void checkSkipped(World &All, entry::EntryState Full,
                  const entry::Effects &Out);

// Log.

void appendToLog(World &All, const model::Batch &Records);
/// Appends what the host has not sent, one batch at a time.
void pumpAppends(World &All, EntryHost &Host);
/// Reads the log for the host until \p Process is replaced.
void read(World &All, EntryHost &Host, core::Incarnation Process);

// Worker runtime.

/// Makes one call at a time, as the agent's runtime thread does. A call that
/// was made takes effect even when the agent's process ends.
void pumpCalls(World &All, AgentHost &Host);
void expireLeases(World &All, AgentHost &Host);

} // namespace nutmegwell::controltest
