#pragma once

#include <cstdint>
#include <string>

namespace nutmegwell::net {

/// An IPv4 address and a port.
struct Address {
  std::string Ip_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const Address &A, const Address &B) {
    return A.Ip_ == B.Ip_ && A.Port_ == B.Port_;
  }
  friend bool operator<(const Address &A, const Address &B) {
    return A.Ip_ != B.Ip_ ? A.Ip_ < B.Ip_ : A.Port_ < B.Port_;
  }
};

/// Returns "IP:PORT".
std::string toString(const Address &Value);

/// Parses "IP:PORT" with an IPv4 address in dotted decimal form and a port from
/// 1 to 65535. Returns false for any other form.
bool parseAddress(const std::string &Text, Address &Value);

/// Returns the local port of a bound socket, or 0 on an error.
std::uint16_t localPort(int Socket);

/// Reserves a TCP port of the loopback address until the process ends. A server
/// can listen on it, but the kernel does not assign it to any other socket.
/// Returns 0 on an error.
std::uint16_t reserveTcpPort();

} // namespace nutmegwell::net
