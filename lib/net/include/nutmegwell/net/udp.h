#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/net/address.h"
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace nutmegwell::net {

/// UDP socket with its own receive thread.
class UdpEndpoint {
public:
  /// Called on the receive thread for each datagram.
  using Receiver = std::function<void(const Address &From, std::string Bytes)>;

  /// Binds \p Listen; port 0 lets the kernel choose. Throws
  /// std::runtime_error when the address cannot be bound.
  UdpEndpoint(const Address &Listen, Receiver OnDatagram);
  UdpEndpoint(const UdpEndpoint &) = delete;
  UdpEndpoint &operator=(const UdpEndpoint &) = delete;
  ~UdpEndpoint();

  std::uint16_t port() const { return Port_; }

  /// Sends one datagram. Errors and loss are not reported. May be called from
  /// any thread.
  void send(const Address &To, std::string_view Bytes);

  /// Ends the receive thread; the receiver is not called afterwards.
  void stop();

private:
  void receiveLoop();

  Receiver OnDatagram_;
  int Socket_ = -1;
  int StopEvent_ = -1;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

} // namespace nutmegwell::net
