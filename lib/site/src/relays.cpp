// Records that a host gets from a peer because it cannot read them from the
// store in time.

#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

core::Offset offsetOf(const cell::EntryHeartbeat &Heartbeat,
                      store::Stream Which) {
  return Which == store::Stream::Operator ? Heartbeat.OperatorNextOffset_
                                          : Heartbeat.CellNextOffset_;
}

/// Returns the address of a reachable peer that has records beyond this host's,
/// or an empty string.
std::string chooseRelayPeer(EntryState &State, store::Stream Which,
                            core::TimePoint Now) {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Other] : State.Peers_)
    if (isReachable(State, Other, Now) && !Other.Heartbeat_.Stopping_ &&
        offsetOf(Other.Heartbeat_, Which) > streamOf(State, Which).NextOffset_)
      Addresses.push_back(Other.Address_);
  if (Addresses.empty())
    return {};
  return Addresses[State.NextRelayPeer_++ % Addresses.size()];
}

/// Returns when a peer is to be asked for the records that a stream lacks. A
/// copy that is arriving comes first: a second one would share its link.
core::TimePoint relayDueAt(const StreamState &Stream,
                           const EntryPolicy &Policy) {
  const core::TimePoint BehindSince = *Stream.BehindSince_;
  core::TimePoint Due =
      BehindSince + (Stream.ReadsFailing_ ? Policy.RelayDelayWhileFailing_
                                          : Policy.RelayDelay_);
  const core::TimePoint AfterRead = Stream.ReadProgressAt_ + Policy.RelayDelay_;
  Due = std::max(Due, std::min(AfterRead, BehindSince + Policy.MaxRelayDelay_));
  if (Stream.RelayRequestedAt_)
    Due = std::max(
        Due, std::max(*Stream.RelayRequestedAt_, Stream.RelayProgressAt_) +
                 Policy.RelayTimeout_);
  return Due;
}

std::size_t relaySize(const StreamState &Stream, core::Offset From) {
  std::size_t Size = 0;
  for (const auto &[Key, Record] : Stream.NewestRecords_)
    if (Record.Offset_ >= From)
      Size += Key.size() + Record.Value_.size();
  return Size;
}

/// Counts a relay of \p Size bytes. Returns false when it exceeds the rate; the
/// peer then asks another one. Addresses peers that ask without end and do not
/// read.
bool admitRelay(EntryState &State, std::size_t Size, core::TimePoint Now) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  const std::chrono::duration<double> Past = Now - State.RelayedAsOf_;
  const double Sent = static_cast<double>(Policy.RelayBytesPerSecond_) *
                      std::max(Past.count(), 0.0);
  const double Left =
      std::max(static_cast<double>(State.RelayedBytes_) - Sent, 0.0);
  State.RelayedBytes_ = static_cast<std::size_t>(Left);
  State.RelayedAsOf_ = Now;
  if (State.RelayedBytes_ > 0 &&
      State.RelayedBytes_ + Size > Policy.RelayBurst_)
    return false;
  State.RelayedBytes_ += Size;
  return true;
}

} // namespace

void onPeerProgress(EntryState &State, const std::string &Address,
                    core::TimePoint Now) {
  for (store::Stream Which : {store::Stream::Operator, store::Stream::Cell}) {
    StreamState &Stream = streamOf(State, Which);
    if (Stream.RelayRequestedAt_ && Stream.RelayAddress_ == Address)
      Stream.RelayProgressAt_ = Now;
  }
}

void notePeerOffsets(EntryState &State, const cell::EntryHeartbeat &Heartbeat,
                     core::TimePoint Now) {
  for (store::Stream Which : {store::Stream::Operator, store::Stream::Cell}) {
    StreamState &Stream = streamOf(State, Which);
    const core::Offset Offset = offsetOf(Heartbeat, Which);
    if (Stream.BehindSince_ || Offset <= Stream.NextOffset_)
      continue;
    Stream.BehindSince_ = Now;
    Stream.PeerOffset_ = Offset;
  }
}

void requestRelays(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  for (store::Stream Which : {store::Stream::Operator, store::Stream::Cell}) {
    StreamState &Stream = streamOf(State, Which);
    if (Stream.NextOffset_ >= Stream.PeerOffset_)
      Stream.BehindSince_.reset();
    if (!Stream.BehindSince_)
      continue;
    core::TimePoint Due = relayDueAt(Stream, Policy);
    if (Now >= Due) {
      const std::string Address = chooseRelayPeer(State, Which, Now);
      if (Address.empty())
        continue;
      Stream.RelayRequestedAt_ = Now;
      Stream.RelayAddress_ = Address;
      Due = Now + Policy.RelayTimeout_;
      Out.SendsTo_.emplace_back(
          Address, cell::RecordsRequest{Which, Stream.NextOffset_});
    }
    Out.WakeAt_ = std::min(Out.WakeAt_, Due);
  }
}

void onRecordsRequest(EntryState &State, LinkId Link,
                      const cell::RecordsRequest &Request, core::TimePoint Now,
                      EntryEffects &Out) {
  const StreamState &Stream = streamOf(State, Request.Stream_);
  if (!Stream.Synced_ || Request.From_ >= Stream.NextOffset_)
    return;
  cell::RelayedRecords Relay;
  Relay.Stream_ = Request.Stream_;
  // The peer may have keys whose removal this host has not read. Only a relay
  // of all keys shows that they are gone.
  Relay.From_ = Request.From_ < Stream.RemovalsKnownFrom_ ? 0 : Request.From_;
  Relay.NextOffset_ = Stream.NextOffset_;
  if (!admitRelay(State, relaySize(Stream, Relay.From_), Now))
    return;
  for (const auto &[Key, Record] : Stream.NewestRecords_)
    if (Record.Offset_ >= Relay.From_)
      Relay.Records_.push_back(Record);
  std::sort(Relay.Records_.begin(), Relay.Records_.end(),
            [](const auto &A, const auto &B) { return A.Offset_ < B.Offset_; });
  Out.LogEvents_.push_back(
      {"records_to_peer",
       {{"stream", name(Request.Stream_)},
        {"asked", std::to_string(Request.From_)},
        {"from", std::to_string(Relay.From_)},
        {"next", std::to_string(Stream.NextOffset_)},
        {"records", std::to_string(Relay.Records_.size())}}});
  Out.Sends_.emplace_back(Link, std::move(Relay));
}

void onRelayedRecords(EntryState &State, const cell::RelayedRecords &Relayed,
                      core::TimePoint ArrivedAt, core::TimePoint Now,
                      EntryEffects &Out) {
  StreamState &Stream = streamOf(State, Relayed.Stream_);
  const RecordSource Source{
      RecordWay::Peer, Stream.RelayRequestedAt_.value_or(ArrivedAt), ArrivedAt};
  Stream.RelayRequestedAt_.reset();
  Stream.RelayProgressAt_ = {};
  if (Relayed.From_ > Stream.NextOffset_ ||
      Relayed.NextOffset_ <= Stream.NextOffset_)
    return;
  const core::Offset Before = Stream.NextOffset_;
  // The relay takes the place of pages that have not all been read.
  if (!Stream.NextOffsetValid_) {
    Stream.ReadSentAt_.reset();
    Stream.ResumeOffset_.reset();
  }
  KeyListing Listing{Relayed.Stream_, Relayed.From_, Relayed.NextOffset_, {}};
  for (const store::KeyedRecord &Record : Relayed.Records_) {
    Listing.Keys_.insert(Record.Key_);
    applyStoreRecord(State, Relayed.Stream_, Record, Source, Now, Out);
  }
  if (Relayed.Stream_ == store::Stream::Operator) {
    dropMissingKeys(State, Listing, Source, Now, Out);
    // A relay of all keys lacks the removed ones, and so can any relay of a
    // process that does not keep track of them.
    Stream.RemovalsKnownFrom_ = Relayed.NextOffset_;
  }
  Stream.NextOffset_ = Relayed.NextOffset_;
  Stream.Synced_ = true;
  Stream.NextOffsetValid_ = true;
  if (Relayed.Stream_ == store::Stream::Cell)
    State.View_.NextOffset_ =
        std::max(State.View_.NextOffset_, Stream.NextOffset_);
  Out.LogEvents_.push_back(
      {"records_from_peer",
       {{"stream", name(Relayed.Stream_)},
        {"from", std::to_string(Before)},
        {"next", std::to_string(Stream.NextOffset_)},
        {"records", std::to_string(Relayed.Records_.size())}}});
}

} // namespace nutmegwell::site
