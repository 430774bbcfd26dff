#pragma once

#include "nutmegwell/cell/load.h"
#include "nutmegwell/cell/messages.h"
#include "nutmegwell/store/recordstore.h"
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::cell {

/// Heartbeat that entry hosts send to one another.
struct EntryHeartbeat {
  std::string Host_;
  /// Address at which peers reach the host.
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  /// Sequence number of the receiver's newest heartbeat that the sender has; 0
  /// for none.
  std::uint64_t AcknowledgedSequence_ = 0;
  bool Stopping_ = false;
  /// Term of the newest claim that the sender knows.
  core::Term Term_ = 0;
  bool IsHolder_ = false;
  /// Time since the sender last received a message from the holder of Term_.
  core::Duration HolderContactAge_{0};
  /// Next offsets that the sender will read.
  core::Offset OperatorNextOffset_ = 0;
  core::Offset CellNextOffset_ = 0;
  /// Time since the sender started its newest successful read of the cell's
  /// stream up to its end.
  core::Duration StoreReadAge_{0};
  /// Addresses of the known entry hosts, by host; empty in most heartbeats
  /// while they do not change.
  std::map<std::string, std::string> Hosts_;
  /// Set by a holder: listed workers on which no task can be running as of
  /// CellNextOffset_. The holder starts nothing on them before it has listed
  /// them again.
  std::vector<std::string> EmptyWorkers_;
};

/// Asks a peer for the records that the sender lacks.
struct RecordsRequest {
  store::Stream Stream_ = store::Stream::Operator;
  /// Offset of the first record that the sender lacks.
  core::Offset From_ = 0;
};

/// Newest records of the keys that changed from an offset on. A key that the
/// receiver has with an offset from From_ on, and that is missing here, was
/// removed.
struct RelayedRecords {
  store::Stream Stream_ = store::Stream::Operator;
  /// At most the requested offset; 0 when the records are those of all keys.
  core::Offset From_ = 0;
  /// Offset after the newest record that the sender knows.
  core::Offset NextOffset_ = 0;
  std::vector<store::KeyedRecord> Records_;
};

/// An append that the sender could not make itself and asks a peer to make.
struct ForwardedAppendRequest {
  std::uint64_t Id_ = 0;
  store::AppendRequest Request_;
};

struct ForwardedAppendResponse {
  std::uint64_t Id_ = 0;
  store::AppendOutcome Outcome_;
};

/// Tells an agent the addresses of the entry hosts and of the holder.
struct EntryInfo {
  /// Addresses of the entry hosts that the sender has heard from recently, by
  /// host.
  std::map<std::string, std::string> Hosts_;
  /// Empty while no holder is known.
  std::string HolderAddress_;
  core::Term Term_ = 0;
};

using PeerMessage =
    std::variant<EntryHeartbeat, RelayedRecords, ForwardedAppendRequest,
                 ForwardedAppendResponse, EntryInfo, AgentReport, HolderOrders,
                 RecordsRequest, LoadReport>;

} // namespace nutmegwell::cell
