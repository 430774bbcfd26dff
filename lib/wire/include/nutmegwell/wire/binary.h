#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/model/records.h"
#include <string>
#include <string_view>

namespace nutmegwell::wire {

/// Format version of every encoding here; another one is refused.
constexpr unsigned char FormatVersion = 1;

/// Largest datagram in bytes; fits one Ethernet frame over IPv4.
constexpr std::size_t MaxDatagram = 1472;

std::string encode(const model::Batch &Value);
std::string encode(const model::Datagram &Value);
std::string encode(const model::Frame &Value);
std::string encode(const model::ControlState &Value);

/// The decoders return InvalidArgument for truncated, oversized or foreign
/// input. Memory use is bounded by a small multiple of the input's size.
absl::StatusOr<model::Batch> decodeBatch(std::string_view Bytes);
absl::StatusOr<model::Datagram> decodeDatagram(std::string_view Bytes);
absl::StatusOr<model::Frame> decodeFrame(std::string_view Bytes);
absl::StatusOr<model::ControlState> decodeState(std::string_view Bytes);

} // namespace nutmegwell::wire
