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

/// Parses "IP:PORT" with an IPv4 address in numbers. Returns false for another
/// form.
bool parseAddress(const std::string &Text, Address &Value);

/// Returns the port of a socket that the kernel bound, or 0.
std::uint16_t localPort(int Socket);

/// Reserves a TCP port of the loopback address until the process ends. A server
/// can listen on it; the kernel gives it to no other socket. Returns 0 on an
/// error.
std::uint16_t reserveTcpPort();

} // namespace nutmegwell::net
