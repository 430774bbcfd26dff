#pragma once

#include "nutmegwell/net/frame.h"
#include <cxxtools/net/tcpsocket.h>

namespace nutmegwell::net {

/// Waits until \p Socket is readable, \p StopEvent (unless negative) is
/// readable, or \p Deadline has passed. Returns true if the socket has data or
/// is closed.
bool waitReadable(int Socket, int StopEvent, core::TimePoint Deadline);

struct FrameConnection::Impl {
  explicit Impl(const FrameLimits &Limits) : Limits_(Limits) {}

  absl::Status readAll(char *Target, std::size_t Size,
                       core::TimePoint Deadline);
  absl::Status writeAll(std::string_view Bytes, core::TimePoint Deadline);
  absl::Status sendGreeting();
  absl::Status sendClosingNotice();

  const FrameLimits Limits_;
  cxxtools::net::TcpSocket Socket_;
  std::string Peer_;
  /// True once the peer's closing notice was read.
  bool Closing_ = false;
};

} // namespace nutmegwell::net
