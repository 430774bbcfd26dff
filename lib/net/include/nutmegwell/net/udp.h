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

/// UDP socket with its own receiving thread.
class UdpEndpoint {
public:
  /// Called on the receiving thread for each datagram.
  using Receiver = std::function<void(const Address &From, std::string Bytes)>;

  /// Binds \p Listen; port 0 lets the kernel choose. Throws
  /// std::runtime_error when the address cannot be bound.
  UdpEndpoint(const Address &Listen, Receiver Function);
  UdpEndpoint(const UdpEndpoint &) = delete;
  UdpEndpoint &operator=(const UdpEndpoint &) = delete;
  ~UdpEndpoint();

  std::uint16_t port() const { return Port_; }

  /// Sends one datagram; like UDP itself it reports no loss. Safe from any
  /// thread.
  void send(const Address &To, std::string_view Bytes);

  /// Ends the receiving thread; the receiver is not called afterwards.
  void stop();

private:
  void receiveLoop();

  Receiver Function_;
  int Socket_ = -1;
  int Wake_ = -1;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

} // namespace nutmegwell::net
