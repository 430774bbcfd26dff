#pragma once

#include "nutmegwell/cell/peers.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/jobs/records.h"
#include <string>
#include <string_view>

namespace nutmegwell::wire {

/// Binary encodings of a cell's durable records and of the messages between
/// entry hosts and agents. The decoders return InvalidArgument for truncated
/// input, for trailing bytes and for input of another kind or format version.
std::string encode(const jobs::Record &Value);
std::string encode(const cell::PeerMessage &Value);

absl::StatusOr<jobs::Record> decodeRecord(std::string_view Bytes);
absl::StatusOr<cell::PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace nutmegwell::wire
