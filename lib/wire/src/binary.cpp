#include "nutmegwell/wire/binary.h"

#include "envelope.h"
#include "fields.h"

namespace nutmegwell::wire {

std::string encode(const model::Batch &Value) {
  return encodeAs(Kind::Batch, Value);
}

std::string encode(const model::Datagram &Value) {
  return encodeAs(Kind::Datagram, Value);
}

std::string encode(const model::Frame &Value) {
  return encodeAs(Kind::Frame, Value);
}

std::string encode(const model::ControlState &Value) {
  return encodeAs(Kind::State, Value);
}

absl::StatusOr<model::Batch> decodeBatch(std::string_view Bytes) {
  return decodeAs<model::Batch>(Kind::Batch, Bytes);
}

absl::StatusOr<model::Datagram> decodeDatagram(std::string_view Bytes) {
  return decodeAs<model::Datagram>(Kind::Datagram, Bytes);
}

absl::StatusOr<model::Frame> decodeFrame(std::string_view Bytes) {
  return decodeAs<model::Frame>(Kind::Frame, Bytes);
}

absl::StatusOr<model::ControlState> decodeState(std::string_view Bytes) {
  return decodeAs<model::ControlState>(Kind::State, Bytes);
}

} // namespace nutmegwell::wire
