#pragma once

#include "nutmegwell/cell/holder.h"
#include "nutmegwell/cell/peers.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/jobs/tables.h"
#include "nutmegwell/jobs/view.h"
#include "nutmegwell/site/callers.h"
#include "nutmegwell/store/appender.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::site {

/// Number of a framed connection.
using LinkId = std::uint64_t;

/// Times of an entry host.
struct EntryPolicy {
  /// Time between two beats to a peer. A peer counts as silent after several.
  core::Duration HeartbeatInterval_ = std::chrono::milliseconds(250);
  /// The holder is taken for gone after this silence: several lost beats, and
  /// less than the 2 s in which a new holder has to serve.
  core::Duration HolderTimeout_ = std::chrono::milliseconds(1500);
  /// An own claim that the view does not show by then is asked for again.
  /// Longer than an append and a read of a slow store.
  core::Duration ClaimTimeout_ = std::chrono::milliseconds(2000);
  /// Claims of hosts are this far apart, so that one is read before the next.
  core::Duration ClaimSpacing_ = std::chrono::milliseconds(300);
  /// A read of a stream waits this long for a record. Bounds how long a
  /// silent connection to the store goes unnoticed; the tables have to be in
  /// force within 2 s.
  core::Duration ReadWait_ = std::chrono::milliseconds(700);
  core::Duration ReadTimeout_ = std::chrono::milliseconds(1300);
  /// Pause after a failed read.
  core::Duration ReadBackoff_ = std::chrono::milliseconds(150);
  /// Submissions are refused at once while an append has been uncertain for
  /// this long.
  core::Duration MaxUncertainAppend_ = std::chrono::milliseconds(700);
  /// A caller is answered this long before it gives up.
  core::Duration AnswerMargin_ = std::chrono::milliseconds(150);
  /// A cancellation of an unknown job waits this long for the job's record,
  /// which another host may just have written.
  core::Duration UnknownJobWait_ = std::chrono::milliseconds(300);
  /// When a caller refused for the store's sake should come back.
  core::Duration StoreRetryAfter_ = std::chrono::seconds(1);
  store::AppendPolicy Append_;
  cell::HolderPolicy Holder_;
};

struct EntrySettings {
  std::string Host_;
  /// Address at which peers and agents reach this host.
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  /// Addresses of some entry hosts, which may be gone.
  std::vector<std::string> Seeds_;
  EntryPolicy Policy_;
};

/// A failure domain taken out of service or back in.
struct DomainChange {
  std::string Domain_;
  bool OutOfService_ = true;
};

/// What a record of the operator asks for; monostate for one that concerns
/// nothing here.
using OperatorChange =
    std::variant<std::monostate, jobs::ServiceTables, DomainChange>;

/// Encodings that the control state needs but does not know.
struct EntryCodec {
  std::function<absl::StatusOr<OperatorChange>(const store::KeyedRecord &)>
      DecodeOperator_;
  std::function<std::string(const jobs::Record &)> EncodeRecord_;
  std::function<absl::StatusOr<jobs::Record>(const std::string &)>
      DecodeRecord_;
};

/// A stream of the store as far as it is known.
struct StreamState {
  core::Offset NextOffset_ = 0;
  bool Synced_ = false;
  /// Newest record of each key, for peers that cannot read the store.
  std::map<std::string, store::KeyedRecord> Newest_;
  bool ReadInFlight_ = false;
  core::TimePoint ReadSentAt_{};
  core::TimePoint NextReadAt_{};
  /// When the newest successful read up to the end was sent.
  core::TimePoint LastFullReadSentAt_{};
  bool EverRead_ = false;
  bool Failing_ = false;
  /// Offset from which reads go on after the pages of newest records.
  std::optional<core::Offset> ResumeOffset_;
  /// Keys that the pages so far have named.
  std::set<std::string> PageKeys_;
};

/// Another entry host.
struct Peer {
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  core::TimePoint LastHeartbeatAt_{};
  cell::EntryHeartbeat Heartbeat_;
  /// Own positions when the previous beat came.
  core::Offset OperatorOffsetAtHeartbeat_ = 0;
  core::Offset CellOffsetAtHeartbeat_ = 0;
  /// When beats were sent, by sequence, for bounds on their echo.
  std::map<std::uint64_t, core::TimePoint> SentAt_;
  std::uint64_t NextSequence_ = 1;
};

/// A caller that waits for an answer.
struct WaitingCall {
  CallerRequest Request_;
  std::string Job_;
  core::TimePoint ArrivedAt_{};
  core::TimePoint AnswerBy_{};
  /// Its append, or 0 while it waits for a job's record.
  store::AppendToken Append_ = 0;
};

/// A process that held the cell, and the time of its last possible grant.
struct EarlierHolder {
  std::string Host_;
  core::Incarnation Incarnation_ = 0;
  core::TimePoint GrantsEnd_{};
};

/// Which of a host's writers an append belongs to.
enum class Writer : std::uint8_t { Own, Holder };

/// An append of this host. An answer that names an earlier batch or an earlier
/// epoch of the writer says nothing of the batch in flight.
struct OwnAppend {
  Writer Writer_ = Writer::Own;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// An append that this host makes for a peer.
struct RelayedAppend {
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
  StreamState Operator_;
  StreamState Cell_;

  std::map<std::string, Peer> Peers_;
  /// Addresses by host, own one included, from records, peers and seeds.
  std::map<std::string, std::string> Hosts_;
  std::map<std::string, LinkId> Agents_;
  /// What the connected agents were told last.
  cell::EntryInfo LastEntryInfo_;

  store::Appender OwnWriter_;
  /// Writer of the tenure, from its claim on: the claim fences the writers of
  /// earlier tenures, so that none of their records follows it.
  std::optional<store::Appender> HolderWriter_;
  store::AppendToken NextToken_ = 1;
  /// Open asks to peers by their number.
  std::map<std::uint64_t, OwnAppend> ForwardedAppends_;
  std::uint64_t NextForwardId_ = 1;
  /// The own path to the store failed last time.
  bool StoreFailing_ = false;
  unsigned NextRelay_ = 0;

  std::map<CallToken, WaitingCall> Calls_;
  /// Jobs accepted here that the view does not show yet.
  std::map<std::string, jobs::JobAccepted> Accepted_;

  std::optional<cell::Holder> Holder_;
  store::AppendToken HolderToken_ = 0;
  core::TimePoint LastHolderContactAt_{};
  /// Since when no holder is known; the clock of the own claim.
  std::optional<core::TimePoint> VacantSince_;
  bool HolderEnded_ = false;
  /// Own claim that the view does not show yet, and when it was asked for.
  std::optional<core::TimePoint> ClaimRequestedAt_;
  /// Term at which the store refused the holder's records for a newer one.
  core::Term FencedTerm_ = 0;
  /// Holders before the newest claim.
  std::vector<EarlierHolder> EarlierHolders_;
  /// Workers on which nothing ran as of an offset, told by the holder of
  /// EmptyWorkersTerm_.
  core::Term EmptyWorkersTerm_ = 0;
  std::map<std::string, core::Offset> EmptyWorkersAt_;
  /// Term before the newest claim.
  core::Term PreviousTerm_ = 0;

  bool Listed_ = false;
  bool Stopping_ = false;
  bool ReleaseRequested_ = false;
  bool Released_ = false;
  core::TimePoint NextHeartbeatAt_{};
  core::TimePoint StartedAt_{};
};

/// An append for the driver to make.
struct AppendCall {
  std::variant<OwnAppend, RelayedAppend> Origin_;
  store::AppendRequest Request_;
};

struct ReadCall {
  store::Stream Stream_;
  core::Offset From_ = 0;
};

struct ReadNewestCall {
  store::Stream Stream_;
  std::string After_;
};

/// What the driver is to do after a step.
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
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

EntryState makeEntryState(EntrySettings Settings, EntryCodec Codec,
                          core::TimePoint Now);

void onCallerRequest(EntryState &State, CallerRequest Request,
                     core::TimePoint Now, jobs::WallTime Wall,
                     EntryEffects &Out);
void onRead(EntryState &State, store::Stream Which,
            const absl::StatusOr<store::ReadPage> &Page, core::TimePoint Now,
            EntryEffects &Out);
void onNewestRead(EntryState &State, store::Stream Which,
                  const absl::StatusOr<store::NewestRecordsPage> &Page,
                  core::TimePoint Now, EntryEffects &Out);
void onAppend(EntryState &State,
              const std::variant<OwnAppend, RelayedAppend> &For,
              const store::AppendOutcome &Outcome, core::TimePoint Now,
              EntryEffects &Out);
void onApprovalResponse(EntryState &State,
                        const cell::ApprovalRequest &Question,
                        const absl::StatusOr<cell::ApprovalResponse> &Answer,
                        core::TimePoint Now, jobs::WallTime Wall,
                        EntryEffects &Out);
void onMessage(EntryState &State, LinkId Link, const cell::PeerMessage &Message,
               core::TimePoint Now, jobs::WallTime Wall, EntryEffects &Out);
void onLinkClosed(EntryState &State, LinkId Link);
void onStopRequested(EntryState &State, EntryEffects &Out);

/// Does what is due; called after every event and at the time WakeAt_.
void advanceEntry(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out);

/// Returns true while callers should be sent to this host.
bool isReady(const EntryState &State);

/// Returns true when a stopping host has nothing left to do.
bool isDrained(const EntryState &State);

} // namespace nutmegwell::site
