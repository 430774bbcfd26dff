#pragma once

#include "archive.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/wire/binary.h"
#include <string>
#include <string_view>

namespace nutmegwell::wire {

/// First bytes of an encoding: what it is, and its format version.
enum class Kind : unsigned char {
  Batch = 1,
  Datagram,
  Frame,
  State,
  CellRecord,
  PeerMessage
};

inline constexpr char Magic[] = {'n', 'w'};
inline constexpr std::size_t HeaderSize = 4;

template <typename T> std::string encodeAs(Kind What, const T &Value) {
  std::string Bytes(Magic, sizeof(Magic));
  Bytes.push_back(static_cast<char>(FormatVersion));
  Bytes.push_back(static_cast<char>(What));
  OutputArchive Archive(Bytes);
  Archive(Value);
  return Bytes;
}

inline absl::Status invalid(const char *Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "decode", "",
                         Message);
}

template <typename T>
absl::StatusOr<T> decodeAs(Kind What, std::string_view Bytes) {
  if (Bytes.size() < HeaderSize || Bytes[0] != Magic[0] || Bytes[1] != Magic[1])
    return invalid("not a nutmegwell message");
  if (static_cast<unsigned char>(Bytes[2]) != FormatVersion)
    return invalid("unknown format version");
  if (static_cast<unsigned char>(Bytes[3]) != static_cast<unsigned char>(What))
    return invalid("message of another kind");
  try {
    InputArchive Archive(Bytes.substr(HeaderSize));
    T Value;
    Archive(Value);
    if (Archive.left() != 0)
      return invalid("bytes after the end");
    return Value;
  } catch (const std::exception &Error) {
    return invalid(Error.what());
  }
}

} // namespace nutmegwell::wire
