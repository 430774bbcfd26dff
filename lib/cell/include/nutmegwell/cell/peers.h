#pragma once

#include "nutmegwell/cell/messages.h"
#include "nutmegwell/store/recordstore.h"
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::cell {

/// What entry hosts tell one another at short intervals.
struct EntryHeartbeat {
  std::string Host_;
  /// Address at which peers reach the host.
  std::string Address_;
  core::Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  /// Newest beat of the receiver that the sender has; 0 for none.
  std::uint64_t AcknowledgedSequence_ = 0;
  bool Stopping_ = false;
  /// Newest claim that the sender knows.
  core::Term Term_ = 0;
  bool IsHolder_ = false;
  /// Time since the sender heard the holder of Term_.
  core::Duration HolderContactAge_{0};
  /// Next offsets to read.
  core::Offset OperatorNextOffset_ = 0;
  core::Offset CellNextOffset_ = 0;
  /// Time since the sender sent its newest successful read of the cell's
  /// stream up to its end.
  core::Duration StoreReadAge_{0};
  /// Address by entry host.
  std::map<std::string, std::string> Hosts_;
  /// Of a holder: listed workers on which nothing can run as of
  /// CellNextOffset_. It starts nothing there before it has listed them anew.
  std::vector<std::string> EmptyWorkers_;
};

/// Newest records of the keys that changed from an offset on.
struct RelayedRecords {
  store::Stream Stream_ = store::Stream::Operator;
  core::Offset From_ = 0;
  /// Offset after the newest record that the sender knows.
  core::Offset NextOffset_ = 0;
  std::vector<store::KeyedRecord> Records_;
};

/// An append that the sender could not make itself.
struct ForwardedAppendRequest {
  std::uint64_t Id_ = 0;
  store::AppendRequest Request_;
};

struct ForwardedAppendResponse {
  std::uint64_t Id_ = 0;
  store::AppendOutcome Outcome_;
};

/// Tells an agent where the holder is.
struct EntryInfo {
  /// Address by entry host, of those that the sender has heard lately.
  std::map<std::string, std::string> Hosts_;
  /// Empty while no holder is known.
  std::string HolderAddress_;
  core::Term Term_ = 0;
};

using PeerMessage =
    std::variant<EntryHeartbeat, RelayedRecords, ForwardedAppendRequest,
                 ForwardedAppendResponse, EntryInfo, AgentReport, HolderOrders>;

} // namespace nutmegwell::cell
