#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/model/records.h"
#include <string>
#include <string_view>

namespace nutmegwell::wire {

/// Format version of every binary encoding. The decoders reject any other
/// version.
constexpr unsigned char FormatVersion = 1;

/// Maximum size of a datagram in bytes. Fits into one Ethernet frame over IPv4
/// without fragmentation.
constexpr std::size_t MaxDatagramSize = 1472;

/// Return the binary encoding of \p Value.
std::string encode(const model::Batch &Value);
std::string encode(const model::Datagram &Value);
std::string encode(const model::Frame &Value);
std::string encode(const model::ControlState &Value);

/// The decoders return InvalidArgument for truncated input, for trailing bytes
/// and for input of another kind or format version. They allocate at most a
/// small multiple of the input's size.
absl::StatusOr<model::Batch> decodeBatch(std::string_view Bytes);
absl::StatusOr<model::Datagram> decodeDatagram(std::string_view Bytes);
absl::StatusOr<model::Frame> decodeFrame(std::string_view Bytes);
absl::StatusOr<model::ControlState> decodeState(std::string_view Bytes);

} // namespace nutmegwell::wire
