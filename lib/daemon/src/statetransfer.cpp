#include "statetransfer.h"

#include "nutmegwell/wire/binary.h"

namespace nutmegwell::daemon {

namespace {

constexpr std::size_t MaxStateBytes = 64 << 20;

model::StateFrame currentState(entry::ControlLoop &Control,
                               core::Offset MinOffset) {
  model::ControlState Copy;
  Control.readState([&](const entry::EntryState &State) {
    if (State.ControlState_.NextOffset_ >= MinOffset)
      Copy = State.ControlState_;
  });
  if (Copy.NextOffset_ == 0)
    return model::StateFrame();
  return model::StateFrame{Copy.NextOffset_, wire::encode(Copy)};
}

} // namespace

net::FrameLimits stateFrameLimits() {
  net::FrameLimits Limits;
  Limits.MaxFrame_ = MaxStateBytes;
  Limits.MaxConnections_ = 16;
  return Limits;
}

net::FrameHandler serveState(entry::ControlLoop &Control) {
  return [&Control](net::FrameConnection &Peer, const std::string &Payload) {
    auto Request = wire::decodeFrame(Payload);
    if (!Request.ok())
      return false;
    auto *Query = std::get_if<model::StateQueryFrame>(&*Request);
    if (!Query)
      return false;
    model::Frame Response = currentState(Control, Query->MinOffset_);
    return Peer.send(wire::encode(Response)).ok();
  };
}

absl::StatusOr<model::ControlState> fetchState(const net::Address &Server,
                                               core::Offset MinOffset,
                                               core::Duration Timeout) {
  auto Peer =
      net::FrameConnection::connect(Server, stateFrameLimits(), Timeout);
  if (!Peer.ok())
    return Peer.status();
  absl::Status Sent = (*Peer)->send(
      wire::encode(model::Frame(model::StateQueryFrame{MinOffset})));
  if (!Sent.ok())
    return Sent;
  auto Payload = (*Peer)->receive(Timeout);
  if (!Payload.ok())
    return Payload.status();
  auto Response = wire::decodeFrame(*Payload);
  if (!Response.ok())
    return Response.status();
  auto *StateResponse = std::get_if<model::StateFrame>(&*Response);
  if (!StateResponse || StateResponse->NextOffset_ == 0)
    return core::makeError(
        absl::StatusCode::kNotFound, "fetch state", net::toString(Server),
        "the peer has not applied the log up to the requested offset");
  return wire::decodeState(StateResponse->State_);
}

} // namespace nutmegwell::daemon
