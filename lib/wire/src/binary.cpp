#include "nutmegwell/wire/binary.h"

#include "envelope.h"
#include "fields.h"

namespace nutmegwell::wire {

std::string encode(const model::Batch &Value) {
  return encodeAs(MessageKind::Batch, Value);
}

std::string encode(const model::Datagram &Value) {
  return encodeAs(MessageKind::Datagram, Value);
}

std::string encode(const model::Frame &Value) {
  return encodeAs(MessageKind::Frame, Value);
}

std::string encode(const model::ControlState &Value) {
  return encodeAs(MessageKind::State, Value);
}

absl::StatusOr<model::Batch> decodeBatch(std::string_view Bytes) {
  return decodeAs<model::Batch>(MessageKind::Batch, Bytes);
}

absl::StatusOr<model::Datagram> decodeDatagram(std::string_view Bytes) {
  return decodeAs<model::Datagram>(MessageKind::Datagram, Bytes);
}

absl::StatusOr<model::Frame> decodeFrame(std::string_view Bytes) {
  return decodeAs<model::Frame>(MessageKind::Frame, Bytes);
}

absl::StatusOr<model::ControlState> decodeState(std::string_view Bytes) {
  return decodeAs<model::ControlState>(MessageKind::State, Bytes);
}

} // namespace nutmegwell::wire
