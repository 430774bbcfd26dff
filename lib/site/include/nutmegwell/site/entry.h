#pragma once

#include "nutmegwell/cell/holder.h"
#include "nutmegwell/cell/peers.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/jobs/tables.h"
#include "nutmegwell/jobs/view.h"
#include "nutmegwell/site/admission.h"
#include "nutmegwell/site/callers.h"
#include "nutmegwell/site/denials.h"
#include "nutmegwell/site/loadadmission.h"
#include "nutmegwell/site/loadreports.h"
#include "nutmegwell/store/appender.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::site {

/// Number of a connection that carries framed messages.
using LinkId = std::uint64_t;

/// Intervals and timeouts of an entry host.
struct EntryPolicy {
  /// Time between two heartbeats to a peer. A peer counts as unreachable after
  /// several missed ones.
  core::Duration HeartbeatInterval_ = std::chrono::milliseconds(250);
  /// Least time between two answers to a peer's heartbeats. Nothing else comes
  /// back on the link on which it sends them, and links without input are
  /// closed after 2 s.
  core::Duration HeartbeatAnswerInterval_ = std::chrono::milliseconds(500);
  /// A holder without contact for this long counts as failed. Allows for
  /// several lost heartbeats, and is below the 2 s within which a new holder
  /// has to serve.
  core::Duration HolderTimeout_ = std::chrono::milliseconds(1500);
  /// This host claims the cell again when the view does not contain its claim
  /// after this time. Longer than an append and a read of a slow store take.
  core::Duration ClaimTimeout_ = std::chrono::milliseconds(2000);
  /// A stopping holder that cannot reach the store keeps the cell for up to
  /// this time, as no other host could claim it. Within the time in which the
  /// load balancer takes the host out of service.
  core::Duration MaxReleaseDelay_ = std::chrono::milliseconds(2500);
  /// Delay between the claims of two hosts, so that the later host reads the
  /// earlier claim before it would make its own.
  core::Duration ClaimSpacing_ = std::chrono::milliseconds(300);
  /// Longest time that a read of a stream waits for a record. Bounds how long a
  /// dead connection to the store goes unnoticed, since new tables have to be
  /// in force within 2 s.
  core::Duration ReadWait_ = std::chrono::milliseconds(700);
  /// The same for the holder's reads of the cell's stream: work that other
  /// hosts have accepted waits until the holder has read it.
  core::Duration HolderReadWait_ = std::chrono::milliseconds(250);
  core::Duration ReadTimeout_ = std::chrono::milliseconds(1300);
  /// A read that has delivered nothing for this long, not counting its wait, is
  /// repeated on another connection, because its own may deliver nothing any
  /// more.
  core::Duration ReadRepeatDelay_ = std::chrono::milliseconds(250);
  /// Reads of a stream that may be open at a time: one that callers have made
  /// obsolete, one on a dead connection, and one more. Each can bring the same
  /// records over the same link.
  std::size_t MaxOpenReads_ = 3;
  /// A read counts as open for at most this long; no call takes longer.
  core::Duration MaxReadTime_ = std::chrono::milliseconds(6000);
  /// Least time between two reads of a stream by a host that does not hold the
  /// cell, so that a busy stream does not cost every host a call for each
  /// append. Also between two reads that callers need at once.
  core::Duration ReadSpacing_ = std::chrono::milliseconds(100);
  /// A host asks a peer for records that it has lacked for this long, or for
  /// RelayDelayWhileFailing_ while its own reads fail.
  core::Duration RelayDelay_ = std::chrono::milliseconds(250);
  core::Duration RelayDelayWhileFailing_ = std::chrono::milliseconds(50);
  /// Another peer is asked for records when the one asked before has sent
  /// nothing for this long.
  core::Duration RelayTimeout_ = std::chrono::milliseconds(500);
  /// No peer is asked while a read of this host brings records, but at the
  /// latest after this time: the path to the store may be slower than the one
  /// to a peer, and new tables have to be in force within 2 s.
  core::Duration MaxRelayDelay_ = std::chrono::milliseconds(1500);
  /// Bytes of records that a host sends to its peers at once, and per second
  /// after that. A larger relay is sent when nothing was sent for long enough.
  std::size_t RelayBurst_ = 2 << 20;
  std::size_t RelayBytesPerSecond_ = 8 << 20;
  /// Pause after a failed read.
  core::Duration ReadBackoff_ = std::chrono::milliseconds(150);
  /// The store counts as unresponsive while no append has been finished for
  /// this long although there was one to make.
  core::Duration MaxUnfinishedAppend_ = std::chrono::milliseconds(700);
  /// A caller is answered this long before its own timeout.
  core::Duration AnswerMargin_ = std::chrono::milliseconds(150);
  AdmissionPolicy Admission_;
  DenialPolicy Denial_;
  LoadAdmissionPolicy LoadAdmission_;
  store::AppendPolicy Append_;
  cell::HolderPolicy Holder_;
};

struct EntrySettings {
  std::string Host_;
  /// Address at which peers and agents reach this host.
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  /// Addresses of entry hosts to contact first; some may no longer exist.
  std::vector<std::string> Seeds_;
  EntryPolicy Policy_;
};

/// A failure domain taken out of service or back in.
struct DomainChange {
  std::string Domain_;
  bool OutOfService_ = true;
};

/// Change that a record of the operator's stream makes; monostate for a record
/// that entry hosts ignore.
using OperatorChange =
    std::variant<std::monostate, jobs::ServiceTables, DomainChange>;

/// Encoding of records, supplied by the driver so that the control state does
/// not depend on a format.
struct EntryCodec {
  std::function<absl::StatusOr<OperatorChange>(const store::KeyedRecord &)>
      DecodeOperator_;
  std::function<std::string(const jobs::Record &)> EncodeRecord_;
  std::function<absl::StatusOr<jobs::Record>(const std::string &)>
      DecodeRecord_;
};

/// Progress of reading one stream of the store.
struct StreamState {
  core::Offset NextOffset_ = 0;
  bool Synced_ = false;
  /// Newest record of each key, for peers that cannot read the store.
  std::map<std::string, store::KeyedRecord> NewestRecords_;
  /// Offset from which NewestRecords_ has the removals of keys as well. Pages
  /// of newest records lack keys that were removed before. The keys of the
  /// cell's stream are never removed.
  core::Offset RemovalsKnownFrom_ = 0;
  /// Send time of the newest read while it has no response. Responses to
  /// earlier reads that it repeats may still arrive.
  std::optional<core::TimePoint> ReadSentAt_;
  /// How long the store may wait for a record before it responds to that read.
  core::Duration ReadWait_{0};
  /// Send times of the reads whose calls have not ended.
  std::set<core::TimePoint> OpenReads_;
  /// When a part of a response to a read last arrived.
  core::TimePoint ReadProgressAt_{};
  /// When a read may next return at once because callers wait for it.
  core::TimePoint NextPromptReadAt_{};
  core::TimePoint NextReadAt_{};
  /// Reads since the last response, the newest one excluded.
  unsigned UnansweredReads_ = 0;
  /// When the latest read that reached the end of the stream was sent.
  core::TimePoint LastFullReadSentAt_{};
  /// Reads continue at NextOffset_; otherwise they start anew with the newest
  /// record of each key.
  bool NextOffsetValid_ = false;
  bool ReadsFailing_ = false;
  /// Offset at which reads continue after the pages of newest records.
  std::optional<core::Offset> ResumeOffset_;
  /// Keys in the pages of newest records so far.
  std::set<std::string> PageKeys_;
  /// Offset that a peer has reached beyond this host's, and since when this
  /// host has known it.
  core::Offset PeerOffset_ = 0;
  std::optional<core::TimePoint> BehindSince_;
  /// When a peer was last asked for records, while it has not responded, its
  /// address, and when a part of its response last arrived.
  std::optional<core::TimePoint> RelayRequestedAt_;
  std::string RelayAddress_;
  core::TimePoint RelayProgressAt_{};
};

/// Another entry host.
struct Peer {
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  core::TimePoint LastHeartbeatAt_{};
  cell::EntryHeartbeat Heartbeat_;
  /// Send times of heartbeats to the peer, by sequence. An acknowledgement
  /// shows that the peer's own heartbeat was sent after that time.
  std::map<std::uint64_t, core::TimePoint> HeartbeatSentAt_;
  std::uint64_t NextSequence_ = 1;
  /// When the latest answer to its heartbeats was sent, and on which link.
  core::TimePoint AnsweredAt_{};
  LinkId AnsweredLink_ = 0;
};

/// A request whose caller has not been answered yet.
struct WaitingCall {
  CallerRequest Request_;
  std::string Job_;
  core::TimePoint ArrivedAt_{};
  core::TimePoint AnswerBy_{};
  /// Append whose outcome decides the reply, or 0 while the request waits for
  /// the job's record, or for a view that shows that there is none.
  store::AppendToken AppendToken_ = 0;
};

/// A process that held the cell, and the time of its last possible grant.
struct EarlierHolder {
  /// Empty for unknown holders: newer records replaced their claims before this
  /// host read them.
  std::string Host_;
  core::Incarnation Incarnation_ = 0;
  core::TimePoint GrantsEnd_{};
};

/// Which of a host's writers an append belongs to.
enum class Writer : std::uint8_t { Own, Holder };

/// Identifies a batch of one of this host's writers, so that a response to an
/// earlier batch or epoch is not applied to the batch in flight.
struct OwnAppend {
  Writer Writer_ = Writer::Own;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// An append that this host makes for a peer.
struct PeerAppend {
  LinkId Link_ = 0;
  std::uint64_t Id_ = 0;
};

/// Control state of an entry host, owned by its control thread.
struct EntryState {
  EntrySettings Settings_;
  EntryCodec Codec_;

  jobs::View View_;
  std::optional<jobs::ServiceTables> Tables_;
  std::set<std::string> OutOfServiceDomains_;
  StreamState OperatorStream_;
  StreamState CellStream_;

  std::map<std::string, Peer> Peers_;
  /// Address by entry host, this one included, from records and heartbeats.
  std::map<std::string, std::string> Hosts_;
  /// When an address was last added or changed.
  core::TimePoint HostsChangedAt_{};
  std::map<std::string, LinkId> AgentLinks_;
  /// Information that was last sent to all connected agents.
  cell::EntryInfo LastEntryInfo_;

  store::Appender OwnWriter_;
  /// Writer of this host's tenure; its first append is the claim. The epoch of
  /// the claim fences the writers of earlier tenures, so that none of their
  /// records follows it.
  std::optional<store::Appender> HolderWriter_;
  store::AppendToken NextAppendToken_ = 1;
  /// Appends forwarded to peers that have not responded, by number.
  std::map<std::uint64_t, OwnAppend> ForwardedAppends_;
  std::uint64_t NextForwardId_ = 1;
  /// The latest append that this host sent to the store directly has failed.
  bool DirectAppendFailing_ = false;
  unsigned NextPeer_ = 0;
  unsigned NextRelayPeer_ = 0;
  /// Bytes of records that were sent to peers beyond the rate, as of a time.
  std::size_t RelayedBytes_ = 0;
  core::TimePoint RelayedAsOf_{};

  std::map<CallToken, WaitingCall> Calls_;
  /// Requests that the tables deny, while these may be out of date.
  std::vector<CallerRequest> DeniedCalls_;
  /// Jobs that this host accepted and that the view does not contain yet.
  std::map<std::string, jobs::JobAccepted> UnreadAccepted_;

  std::optional<cell::Holder> Holder_;
  store::AppendToken HolderAppendToken_ = 0;
  core::TimePoint LastHolderContactAt_{};
  /// Time since which the cell has needed a holder; the delay of this host's
  /// claim counts from it.
  std::optional<core::TimePoint> VacantSince_;
  /// The process that claimed the cell has been replaced by a newer one.
  bool HolderEnded_ = false;
  /// When this host claimed the cell, until the view contains the claim.
  std::optional<core::TimePoint> ClaimRequestedAt_;
  /// Term of this host's latest tenure whose records the store refused because
  /// of a newer claim.
  core::Term FencedTerm_ = 0;
  /// Holders before the newest claim.
  std::vector<EarlierHolder> EarlierHolders_;
  /// Workers on which nothing ran as of an offset, as reported by the holder of
  /// EmptyWorkersTerm_.
  core::Term EmptyWorkersTerm_ = 0;
  std::map<std::string, core::Offset> EmptyWorkersAt_;
  /// Term before the newest claim.
  core::Term PreviousTerm_ = 0;

  KnownLoad Load_;

  bool OwnAddressRecorded_ = false;
  bool Stopping_ = false;
  /// When a stopping holder releases the cell although the store fails.
  std::optional<core::TimePoint> ReleaseDueAt_;
  bool ReleaseRequested_ = false;
  bool Released_ = false;
  core::TimePoint NextHeartbeatAt_{};
  core::TimePoint StartedAt_{};
};

/// An append for the driver to make.
struct AppendCall {
  std::variant<OwnAppend, PeerAppend> Origin_;
  store::AppendRequest Request_;
};

struct ReadCall {
  store::Stream Stream_;
  core::Offset From_ = 0;
  core::TimePoint SentAt_{};
  /// How long the store waits for a record, and when the call fails.
  core::Duration Wait_{0};
  core::Duration Timeout_{0};
  /// When the response reached this process; set by the driver.
  core::TimePoint ArrivedAt_{};
};

struct ReadNewestCall {
  store::Stream Stream_;
  std::string After_;
  core::TimePoint SentAt_{};
  /// When the response reached this process; set by the driver.
  core::TimePoint ArrivedAt_{};
};

/// Where a message of a peer comes from.
struct MessageOrigin {
  LinkId Link_ = 0;
  /// When the message reached this process.
  core::TimePoint ArrivedAt_{};
};

/// Work for the driver after a step of the control state.
struct EntryEffects {
  std::vector<CallerReply> Replies_;
  std::vector<std::pair<LinkId, cell::PeerMessage>> Sends_;
  /// Messages to entry hosts by address.
  std::vector<std::pair<std::string, cell::PeerMessage>> SendsTo_;
  std::vector<AppendCall> Appends_;
  std::vector<ReadCall> Reads_;
  std::vector<ReadNewestCall> NewestReads_;
  std::optional<cell::ApprovalRequest> ApprovalRequest_;
  std::vector<core::LogEvent> LogEvents_;
  /// New figures for metrics; zero when a tenure ends.
  std::optional<cell::SpeedFigures> SpeedFigures_;
  /// New or changed decisions on units of draining workers, for the metrics.
  std::vector<cell::DepartureChoice> Departures_;
  /// Usages of all accounts for the metrics, when they are due; empty once this
  /// host no longer holds the cell.
  std::optional<std::vector<cell::AccountUsage>> AccountUsages_;
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

EntryState makeEntryState(EntrySettings Settings, EntryCodec Codec,
                          core::TimePoint Now);

void onCallerRequest(EntryState &State, CallerRequest Request,
                     core::TimePoint Now, jobs::WallTime Wall,
                     EntryEffects &Out);
/// Processes the response to \p Call, or the error when there is none.
void onRead(EntryState &State, const ReadCall &Call,
            const absl::StatusOr<store::ReadPage> &Page, core::TimePoint Now,
            EntryEffects &Out);
/// Processes the response to \p Call, or the error when there is none.
void onNewestRead(EntryState &State, const ReadNewestCall &Call,
                  const absl::StatusOr<store::NewestRecordsPage> &Page,
                  core::TimePoint Now, EntryEffects &Out);
/// Notes that a part of a response to a read of \p Which has arrived.
void onReadProgress(EntryState &State, store::Stream Which,
                    core::TimePoint Now);
/// Notes that a part of a response has arrived from the peer at \p Address.
void onPeerProgress(EntryState &State, const std::string &Address,
                    core::TimePoint Now);
void onAppend(EntryState &State,
              const std::variant<OwnAppend, PeerAppend> &Origin,
              const store::AppendOutcome &Outcome, core::TimePoint Now,
              EntryEffects &Out);
void onApprovalResponse(EntryState &State, const cell::ApprovalRequest &Request,
                        const absl::StatusOr<cell::ApprovalResponse> &Response,
                        core::TimePoint Now, jobs::WallTime Wall,
                        EntryEffects &Out);
void onMessage(EntryState &State, const MessageOrigin &Origin,
               const cell::PeerMessage &Message, core::TimePoint Now,
               jobs::WallTime Wall, EntryEffects &Out);
void onLinkClosed(EntryState &State, LinkId Link);
void onStopRequested(EntryState &State, EntryEffects &Out);

/// Performs all work that is due; called after every event and at the time
/// WakeAt_.
void advanceEntry(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out);

/// Returns true while this host can serve callers.
bool isReady(const EntryState &State);

/// Returns true once a stopping host has released the cell and answered all
/// callers.
bool isDrained(const EntryState &State);

} // namespace nutmegwell::site
