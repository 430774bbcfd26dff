#pragma once

#include "nutmegwell/net/address.h"
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace soak {

enum class ProxyMode : std::uint8_t {
  PassThrough,
  /// Forwards all data 100 ms late, in both directions.
  Delay,
  /// Discards data to the server, on open and new connections.
  DropToServer,
  /// Discards data to the client, on open and new connections.
  DropToClient,
  /// Discards all later data of the open connections without closing them; new
  /// connections pass through.
  StallOpen,
  /// Resets the open connections; new connections pass through.
  ResetOpen
};

/// TCP proxy on loopback in front of one server, with a thread of its own.
class TcpProxy {
public:
  explicit TcpProxy(const nutmegwell::net::Address &Server);
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;
  ~TcpProxy();

  std::uint16_t port() const { return Port_; }
  /// Safe from any thread. StallOpen and ResetOpen act once on the connections
  /// open at the time and leave the proxy in PassThrough.
  void setMode(ProxyMode Mode);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

} // namespace soak
