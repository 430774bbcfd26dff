#pragma once

#include "nutmegwell/entry/control.h"
#include <string>

/// The parts of the control step; each handles one kind of event.
namespace nutmegwell::entry {

/// Adds a record with the next sequence number and notes what it is for.
core::RecordId append(EntryState &State, Effects &Out, model::RecordBody Body,
                      PendingRecord Purpose);

void onCommand(EntryState &State, const Command &What, core::TimePoint Now,
               Effects &Out);
void onDatagram(EntryState &State, const DatagramReceived &What,
                core::TimePoint Now, Effects &Out);

/// Reports changes of node states, which routing and scheduling depend on.
void noteNodeChanges(EntryState &State,
                     const std::vector<membership::NodeChange> &Changes,
                     Effects &Out);

/// Claims, renews and releases cells.
void advanceCells(EntryState &State, core::TimePoint Now, Effects &Out);
void noteCells(EntryState &State, core::TimePoint Now);
/// Forgets former holders that have read of the end of their tenure.
void confirmFormer(EntryState &State, const PeerEntry &Peer,
                   const model::NodeName &Name, core::TimePoint Now);
/// Returns the latest time at which another process may have renewed task
/// leases of a cell; it may lie in the future.
core::TimePoint renewedByOthers(const EntryState &State,
                                const model::DomainName &Domain);
void onCellRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out);
void releaseCells(EntryState &State, core::TimePoint Now, Effects &Out);
/// Returns this host's term of a cell that it holds on record, or 0.
core::Term ownTerm(const EntryState &State, const model::DomainName &Domain);

/// Drives every gang of the cells that this host holds.
void advanceGangs(EntryState &State, core::TimePoint Now, Effects &Out);
void onReserveAnswer(EntryState &State, const model::ReserveAnswer &Answer,
                     core::TimePoint Now, Effects &Out);
void onGangRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out);
/// Stops running tasks that no committed attempt accounts for.
void stopUnknownTasks(EntryState &State, const membership::Node &Target,
                      core::TimePoint Now, Effects &Out);

/// Starts a gang's reservation.
void reserveGang(EntryState &State, const model::DomainName &Domain,
                 const model::Job &Target, const model::Placement &Tasks,
                 core::TimePoint Now, Effects &Out);
/// Stops a running attempt. The stop does not wait for its record, so that a
/// gang does not run in part while the log is unavailable.
void stopGang(EntryState &State, Gang &Target, const std::string &Reason,
              core::TimePoint Now, Effects &Out);

/// Decides starts and preemptions in every cell that this host holds.
void schedule(EntryState &State, core::TimePoint Now, Effects &Out);

} // namespace nutmegwell::entry
