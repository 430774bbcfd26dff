#pragma once

#include "nutmegwell/net/frame.h"
#include <cxxtools/net/tcpsocket.h>

namespace nutmegwell::net {

/// Waits until \p Socket can be read, \p Wake (unless negative) can be read, or
/// \p Deadline. Returns true when the socket has bytes or is closed.
bool waitReadable(int Socket, int Wake, core::TimePoint Deadline);

struct FrameConnection::Impl {
  explicit Impl(const FrameLimits &Limits) : Limits_(Limits) {}

  absl::Status readAll(char *Target, std::size_t Size,
                       core::TimePoint Deadline);
  absl::Status writeAll(std::string_view Bytes, core::TimePoint Deadline);
  absl::Status greet();
  absl::Status noticeClosing();

  const FrameLimits Limits_;
  cxxtools::net::TcpSocket Socket_;
  std::string Peer_;
  /// Set when the peer's notice of closing was read.
  bool Closing_ = false;
};

} // namespace nutmegwell::net
