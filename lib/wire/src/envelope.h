#pragma once

#include "archive.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/wire/binary.h"
#include <string>
#include <string_view>

namespace nutmegwell::wire {

/// Kind of an encoded value; the last byte of the header. The header consists
/// of Magic, FormatVersion and this byte.
enum class MessageKind : unsigned char {
  Batch = 1,
  Datagram,
  Frame,
  State,
  CellRecord,
  PeerMessage
};

inline constexpr char Magic[] = {'n', 'w'};
inline constexpr std::size_t HeaderSize = 4;

template <typename T> std::string encodeAs(MessageKind Kind, const T &Value) {
  std::string Bytes(Magic, sizeof(Magic));
  Bytes.push_back(static_cast<char>(FormatVersion));
  Bytes.push_back(static_cast<char>(Kind));
  OutputArchive Archive(Bytes);
  Archive(Value);
  return Bytes;
}

inline absl::Status invalid(const char *Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "decode", "",
                         Message);
}

/// Fails when the elements of all containers take more than \p MaxExcess bytes
/// of memory beyond their encoded size.
template <typename T>
absl::StatusOr<T> decodeAs(MessageKind Kind, std::string_view Bytes,
                           std::size_t MaxExcess = SIZE_MAX) {
  if (Bytes.size() < HeaderSize || Bytes[0] != Magic[0] || Bytes[1] != Magic[1])
    return invalid("the header is not that of a nutmegwell message");
  if (static_cast<unsigned char>(Bytes[2]) != FormatVersion)
    return invalid("the format version is not supported");
  if (static_cast<unsigned char>(Bytes[3]) != static_cast<unsigned char>(Kind))
    return invalid("the message is not of the expected kind");
  try {
    InputArchive Archive(Bytes.substr(HeaderSize), MaxExcess);
    T Value;
    Archive(Value);
    if (Archive.remaining() != 0)
      return invalid("unexpected bytes after the end of the message");
    return Value;
  } catch (const std::exception &Error) {
    return invalid(Error.what());
  }
}

} // namespace nutmegwell::wire
