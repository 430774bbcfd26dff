#pragma once

#include "nutmegwell/site/entry.h"

namespace nutmegwell::site {

/// Way by which records reach this host.
enum class RecordWay : std::uint8_t {
  /// A read of the stream, in the order of offsets.
  Read,
  /// A page of the newest record of each key.
  NewestPage,
  Peer
};

/// The call or message that brings records.
struct RecordSource {
  RecordWay Way_ = RecordWay::Read;
  /// When the records were requested, and when the answer reached this process.
  core::TimePoint RequestedAt_{};
  core::TimePoint ArrivedAt_{};
};

/// Applies a record of a stream to the control state.
void applyStoreRecord(EntryState &State, store::Stream Which,
                      const store::KeyedRecord &Record,
                      const RecordSource &Source, core::TimePoint Now,
                      EntryEffects &Out);

/// The keys of a stream that were changed within a range of offsets and still
/// exist.
struct KeyListing {
  store::Stream Stream_ = store::Stream::Operator;
  core::Offset From_ = 0;
  core::Offset Until_ = 0;
  std::set<std::string> Keys_;
};

/// Applies the removal of the keys that \p Listing shows to be missing.
void dropMissingKeys(EntryState &State, const KeyListing &Listing,
                     const RecordSource &Source, core::TimePoint Now,
                     EntryEffects &Out);

StreamState &streamOf(EntryState &State, store::Stream Which);

/// Return the name of a stream, or of a way, for logs.
const char *name(store::Stream Which);
const char *name(RecordWay Way);

/// Adds the reads that are due to \p Out.
void requestReads(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Queues \p Records to be appended together by a writer. Returns the token of
/// the append.
store::AppendToken queueAppend(EntryState &State, Writer Which,
                               const std::vector<jobs::Record> &Records);

/// Returns the addresses of peers that can read the store according to their
/// heartbeats.
std::vector<std::string> peersReadingStore(const EntryState &State,
                                           core::TimePoint Now);

/// Returns true when this host cannot read the store and knows no peer that
/// can, so that an append would most likely have an unknown outcome.
bool hasNoStorePath(const EntryState &State, core::TimePoint Now);

/// Adds the appends that are due to \p Out, as calls or as messages to peers.
void requestAppends(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Adds the heartbeats that are due to \p Out.
void sendHeartbeats(EntryState &State, core::TimePoint Now, EntryEffects &Out);

/// Makes an append for the peer behind \p Link, or tells it that nothing was
/// sent while this host cannot use the store either.
void onForwardedAppendRequest(const EntryState &State, LinkId Link,
                              const cell::ForwardedAppendRequest &Request,
                              EntryEffects &Out);
/// Applies a peer's response to an append that this host forwarded.
void onForwardedAppendResponse(EntryState &State,
                               const cell::ForwardedAppendResponse &Response,
                               core::TimePoint Now, EntryEffects &Out);

/// Adds the holder's load report to \p Out when a heartbeat is due, while the
/// cell is overloaded and once after that.
void reportLoad(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                EntryEffects &Out);
/// Keeps a load report unless it is malformed or of an earlier term.
void onLoadReport(EntryState &State, const cell::LoadReport &Report,
                  core::TimePoint Now, EntryEffects &Out);
/// A submission of an unknown job, after the checks that do not depend on the
/// load.
struct NewSubmission {
  const std::string &Job_;
  const jobs::Queue &Queue_;
  /// Absent for an anonymous caller.
  const jobs::Account *Account_ = nullptr;
  const jobs::JobSpec &Spec_;
};

/// Returns the time after which the caller should return when the load makes
/// the job hopeless, and remembers the caller's first arrival; returns nothing
/// when the job is to be admitted.
std::optional<core::Duration> refusalForLoad(EntryState &State,
                                             const NewSubmission &Submission,
                                             core::TimePoint Now,
                                             jobs::WallTime Wall);
/// Notes a job that is admitted, and returns when it arrived first.
jobs::WallTime noteAdmitted(EntryState &State, const NewSubmission &Submission,
                            core::TimePoint Now, jobs::WallTime Wall);
/// Notes that a submission of \p Job is answered without an outcome.
void noteUnknownOutcome(EntryState &State, const std::string &Job,
                        core::TimePoint Now);

void onHeartbeat(EntryState &State, LinkId Link,
                 const cell::EntryHeartbeat &Heartbeat, core::TimePoint Now,
                 EntryEffects &Out);

/// Adds or replaces the address of an entry host.
void learnHost(EntryState &State, const std::string &Host,
               const std::string &Address, core::TimePoint Now);

/// Notes the offsets that a peer has reached beyond this host's.
void notePeerOffsets(EntryState &State, const cell::EntryHeartbeat &Heartbeat,
                     core::TimePoint Now);
/// Asks one peer for the records that this host has lacked for too long.
void requestRelays(EntryState &State, core::TimePoint Now, EntryEffects &Out);
/// Sends the requested records to the peer behind \p Link.
void onRecordsRequest(EntryState &State, LinkId Link,
                      const cell::RecordsRequest &Request, core::TimePoint Now,
                      EntryEffects &Out);
void onRelayedRecords(EntryState &State, const cell::RelayedRecords &Relayed,
                      core::TimePoint ArrivedAt, core::TimePoint Now,
                      EntryEffects &Out);

/// Returns a time as of which the view contains every job that had been
/// accepted, by this host's own reads or those of peers.
core::TimePoint viewCompleteAsOf(const EntryState &State);
/// Returns a time as of which this host had all tables that had been published,
/// by its own reads or those of peers.
core::TimePoint tablesCompleteAsOf(const EntryState &State);
/// Returns why \p Tables deny a caller, or nothing when they do not.
std::optional<ReplyKind> denialByTables(const jobs::ServiceTables &Tables,
                                        const CallerRequest &Request);
DenialState denialState(const EntryState &State, const CallerRequest &Request,
                        core::TimePoint Now);
/// Handles the requests again that waited for recent tables, as far as these
/// decide by now or the wait is over.
void answerDeniedCalls(EntryState &State, core::TimePoint Now,
                       jobs::WallTime Wall, EntryEffects &Out);
/// Returns true when a caller waits for a read of \p Which: to learn whether a
/// job exists, or whether newer tables allow a request.
bool callersWaitFor(const EntryState &State, store::Stream Which);
/// Returns true when a read of \p Which that was sent at \p SentAt is too old
/// for such a caller.
bool needsRead(const EntryState &State, store::Stream Which,
               core::TimePoint SentAt);

/// Returns why the cell needs a new holder, or an empty string.
std::string vacancyReason(const EntryState &State, core::TimePoint Now);

/// Claims the cell when it needs a holder; begins, ends or releases this host's
/// tenure.
void advanceElection(EntryState &State, core::TimePoint Now,
                     jobs::WallTime Wall, EntryEffects &Out);

/// Answers the callers that wait for the finished append.
void completeCalls(EntryState &State, const store::AppendResult &Result,
                   core::TimePoint Now, EntryEffects &Out);
/// Answers callers who asked about jobs that do not exist, as the view shows by
/// now, and refuses all who ask about unknown jobs while this host cannot learn
/// of any.
void answerForUnknownJobs(EntryState &State, core::TimePoint Now,
                          EntryEffects &Out);
/// Answers callers whose timeout is near, and refuses those whose append cannot
/// be sent for now.
void expireCalls(EntryState &State, core::TimePoint Now, EntryEffects &Out);
/// Handles the first record of \p Job: answers its submissions and appends the
/// cancellations that waited for it.
void onJobRecord(EntryState &State, const std::string &Job, core::TimePoint Now,
                 EntryEffects &Out);

/// Returns true while heartbeats from \p Other arrive in time.
bool isReachable(const EntryState &State, const Peer &Other,
                 core::TimePoint Now);

/// Returns the read-only context for the functions of the cell's holder.
cell::HolderContext holderContext(const EntryState &State, core::TimePoint Now,
                                  jobs::WallTime Wall);

} // namespace nutmegwell::site
