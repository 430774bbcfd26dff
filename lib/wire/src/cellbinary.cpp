#include "nutmegwell/wire/cellbinary.h"

#include "cellfields.h"
#include "envelope.h"

namespace nutmegwell::wire {

namespace {

/// Memory in bytes that the elements of a message may take beyond their encoded
/// size. Records take none; the names of 16,000 empty workers take a quarter.
constexpr std::size_t MaxMessageExcess = 524288;

} // namespace

std::string encode(const jobs::Record &Value) {
  return encodeAs(MessageKind::CellRecord, Value);
}

std::string encode(const cell::PeerMessage &Value) {
  return encodeAs(MessageKind::PeerMessage, Value);
}

absl::StatusOr<jobs::Record> decodeRecord(std::string_view Bytes) {
  return decodeAs<jobs::Record>(MessageKind::CellRecord, Bytes);
}

absl::StatusOr<cell::PeerMessage> decodePeerMessage(std::string_view Bytes) {
  return decodeAs<cell::PeerMessage>(MessageKind::PeerMessage, Bytes,
                                     MaxMessageExcess);
}

} // namespace nutmegwell::wire
