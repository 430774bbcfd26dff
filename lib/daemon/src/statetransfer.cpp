#include "statetransfer.h"

#include "nutmegwell/wire/binary.h"

namespace nutmegwell::daemon {

namespace {

constexpr std::size_t MaxState = 64 << 20;

model::StateFrame currentState(entry::ControlLoop &Control,
                               core::Offset AtLeast) {
  model::ControlState Copy;
  Control.readState([&](const entry::EntryState &State) {
    if (State.ControlState_.NextOffset_ >= AtLeast)
      Copy = State.ControlState_;
  });
  if (Copy.NextOffset_ == 0)
    return model::StateFrame();
  return model::StateFrame{Copy.NextOffset_, wire::encode(Copy)};
}

} // namespace

net::FrameLimits stateFrameLimits() {
  net::FrameLimits Limits;
  Limits.MaxFrame_ = MaxState;
  Limits.MaxConnections_ = 16;
  return Limits;
}

net::FrameHandler serveState(entry::ControlLoop &Control) {
  return [&Control](net::FrameConnection &Peer, const std::string &Payload) {
    auto Asked = wire::decodeFrame(Payload);
    if (!Asked.ok())
      return false;
    auto *Query = std::get_if<model::StateQueryFrame>(&*Asked);
    if (!Query)
      return false;
    model::Frame Answer = currentState(Control, Query->MinOffset_);
    return Peer.send(wire::encode(Answer)).ok();
  };
}

absl::StatusOr<model::ControlState> fetchState(const net::Address &Server,
                                               core::Offset AtLeast,
                                               core::Duration Timeout) {
  auto Peer =
      net::FrameConnection::connect(Server, stateFrameLimits(), Timeout);
  if (!Peer.ok())
    return Peer.status();
  absl::Status Sent = (*Peer)->send(
      wire::encode(model::Frame(model::StateQueryFrame{AtLeast})));
  if (!Sent.ok())
    return Sent;
  auto Payload = (*Peer)->receive(Timeout);
  if (!Payload.ok())
    return Payload.status();
  auto Answer = wire::decodeFrame(*Payload);
  if (!Answer.ok())
    return Answer.status();
  auto *Found = std::get_if<model::StateFrame>(&*Answer);
  if (!Found || Found->NextOffset_ == 0)
    return core::makeError(absl::StatusCode::kNotFound, "fetch state",
                           net::toString(Server),
                           "the peer has no state that is new enough");
  return wire::decodeState(Found->State_);
}

} // namespace nutmegwell::daemon
