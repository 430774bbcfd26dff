#pragma once

#include "nutmegwell/net/address.h"
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace soak {

enum class ProxyMode : std::uint8_t {
  Pass,
  /// Bytes wait 100 ms.
  Delay,
  /// Open connections and new ones carry nothing to the server.
  CutForward,
  /// Open connections and new ones carry nothing to the client.
  CutBack,
  /// Open connections stay silent for good; new ones work.
  Silence,
  /// Open connections are reset; new ones work.
  Reset
};

/// Loopback proxy in front of one server, with a thread of its own.
class TcpProxy {
public:
  explicit TcpProxy(const nutmegwell::net::Address &Server);
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;
  ~TcpProxy();

  std::uint16_t port() const { return Port_; }
  /// Safe from any thread. Silence and Reset act once.
  void setMode(ProxyMode Mode);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

} // namespace soak
