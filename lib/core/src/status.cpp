#include "nutmegwell/core/status.h"

namespace nutmegwell::core {

namespace {

constexpr char StepUrl[] = "nutmegwell/step";
constexpr char PeerUrl[] = "nutmegwell/peer";

std::string payload(const absl::Status &Error, const char *Url) {
  auto Value = Error.GetPayload(Url);
  return Value ? std::string(*Value) : std::string();
}

} // namespace

absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message) {
  absl::Status Error(Code, absl::string_view(Message.data(), Message.size()));
  Error.SetPayload(StepUrl, absl::Cord(std::string(Step)));
  Error.SetPayload(PeerUrl, absl::Cord(std::string(Peer)));
  return Error;
}

std::string stepOf(const absl::Status &Error) {
  return payload(Error, StepUrl);
}

std::string peerOf(const absl::Status &Error) {
  return payload(Error, PeerUrl);
}

std::string describe(const absl::Status &Error) {
  return absl::StatusCodeToString(Error.code()) + ": " +
         std::string(Error.message()) + " (step " + stepOf(Error) + ", peer " +
         peerOf(Error) + ")";
}

} // namespace nutmegwell::core
