#include "nutmegwell/logclient/logservice.h"

namespace nutmegwell::logclient {

namespace {

constexpr char FirstRetainedPayloadUrl[] = "nutmegwell/first";

} // namespace

absl::Status outOfRange(core::Offset First, const std::string &Peer) {
  absl::Status Error =
      core::makeError(absl::StatusCode::kOutOfRange, "read", Peer,
                      "the oldest retained offset is " + std::to_string(First));
  Error.SetPayload(FirstRetainedPayloadUrl, absl::Cord(std::to_string(First)));
  return Error;
}

std::optional<core::Offset> firstRetained(const absl::Status &Error) {
  auto Value = Error.GetPayload(FirstRetainedPayloadUrl);
  if (!absl::IsOutOfRange(Error) || !Value)
    return std::nullopt;
  return std::stoull(std::string(*Value));
}

} // namespace nutmegwell::logclient
