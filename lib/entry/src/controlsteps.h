#pragma once

#include "nutmegwell/entry/control.h"
#include <string>

/// Handlers of the control state machine's events and timers.
namespace nutmegwell::entry {

/// Appends a record with the next sequence number and stores \p Purpose until
/// the result of the append is known.
core::RecordId append(EntryState &State, Effects &Out, model::RecordBody Body,
                      PendingRecord Purpose);

void onCommand(EntryState &State, const Command &Cmd, core::TimePoint Now,
               Effects &Out);
void onDatagram(EntryState &State, const DatagramReceived &Received,
                core::TimePoint Now, Effects &Out);

/// Reacts to changes of node states, on which routing, gangs and scheduling
/// depend.
void onNodeChanges(EntryState &State,
                   const std::vector<membership::NodeChange> &Changes,
                   Effects &Out);

/// Claims free cells and renews the leases of held ones.
void advanceCells(EntryState &State, core::TimePoint Now, Effects &Out);
void updateCellTrackers(EntryState &State, core::TimePoint Now);
/// Drops former holders whose heartbeat shows that they have read the claim
/// that ended their tenure, or that their process was replaced.
void dropFormerHolders(EntryState &State, const PeerEntryHost &Peer,
                       const model::NodeName &Name, core::TimePoint Now);
/// Returns the latest time at which a former holder may have renewed task
/// leases of a cell. The time may lie in the future while a former holder may
/// still renew.
core::TimePoint lastRenewalByFormerHolders(const EntryState &State,
                                           const model::DomainName &Domain);
void onCellRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out);
void releaseCells(EntryState &State, core::TimePoint Now, Effects &Out);
/// Returns the term of the cell when the log names this host as its holder,
/// even if its lease has expired, or else 0.
core::Term ownTerm(const EntryState &State, const model::DomainName &Domain);

/// Adopts, drops and advances the gangs of the cells that this host holds.
void advanceGangs(EntryState &State, core::TimePoint Now, Effects &Out);
void onReserveAnswer(EntryState &State, const model::ReserveAnswer &Answer,
                     core::TimePoint Now, Effects &Out);
void onGangRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out);
/// Stops running tasks that belong to no committed attempt.
void stopUnknownTasks(EntryState &State, const membership::Node &Target,
                      core::TimePoint Now, Effects &Out);

/// Begins an attempt: reserves accelerators on the workers of \p Tasks.
void reserveGang(EntryState &State, const model::DomainName &Domain,
                 const model::Job &Target, const model::Placement &Tasks,
                 core::TimePoint Now, Effects &Out);
/// Stops a running attempt. Sends the stop messages without waiting for the
/// JobStopping record, so that a gang does not go on running in part while the
/// log is unavailable.
void stopGang(EntryState &State, Gang &Target, const std::string &Reason,
              core::TimePoint Now, Effects &Out);

/// Runs a scheduling round: decides starts and preemptions in every cell that
/// this host holds.
void schedule(EntryState &State, core::TimePoint Now, Effects &Out);

} // namespace nutmegwell::entry
