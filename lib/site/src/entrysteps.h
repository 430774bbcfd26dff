#pragma once

#include "nutmegwell/site/entry.h"

namespace nutmegwell::site {

/// Applies a record of a stream to the control state.
void applyRecord(EntryState &State, store::Stream Which,
                 const store::KeyedRecord &Record, bool InOrder,
                 core::TimePoint Now, EntryEffects &Out);

StreamState &streamOf(EntryState &State, store::Stream Which);

/// Asks the driver for the reads that are due.
void requestReads(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Queues records for one append of a writer. Returns its token.
store::AppendToken append(EntryState &State, Writer Which,
                          const std::vector<jobs::Record> &Records);

/// Returns the addresses of peers that reach the store, as far as their beats
/// tell.
std::vector<std::string> relays(const EntryState &State, core::TimePoint Now);

/// Asks the driver for the appends that are due.
void requestAppends(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Sends beats that are due.
void sendBeats(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Takes an answer to a peer's ask or an ask itself.
void onAsk(LinkId Link, const cell::ForwardedAppendRequest &Ask,
           EntryEffects &Out);
void onAnswer(EntryState &State, const cell::ForwardedAppendResponse &Answer,
              core::TimePoint Now, EntryEffects &Out);

void onBeat(EntryState &State, LinkId Link, const cell::EntryHeartbeat &Beat,
            core::TimePoint Now, EntryEffects &Out);
void onRelay(EntryState &State, const cell::RelayedRecords &Relay,
             core::TimePoint Now, EntryEffects &Out);

/// Returns why the cell needs a new holder, or an empty text.
std::string vacancy(const EntryState &State, core::TimePoint Now);

/// Claims the cell when it is vacant, gives it up when it is lost.
void holdElection(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out);

/// Answers callers whose append ended, or whose time is over.
void endCalls(EntryState &State, const store::AppendResult &Result,
              core::TimePoint Now, EntryEffects &Out);
void expireCalls(EntryState &State, core::TimePoint Now, EntryEffects &Out);
/// Answers submissions of \p Job and goes on with cancellations that waited for
/// its record.
void onJobRecord(EntryState &State, const std::string &Job, core::TimePoint Now,
                 EntryEffects &Out);

/// Returns true when \p Other was heard lately.
bool isFresh(const EntryState &State, const Peer &Other, core::TimePoint Now);

/// Returns what the holder's functions may see.
cell::HolderContext surroundingsOf(const EntryState &State, core::TimePoint Now,
                                   jobs::WallTime Wall);

} // namespace nutmegwell::site
