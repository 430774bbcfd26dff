#include "nutmegwell/net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegwell::net {

std::string toString(const Address &Value) {
  return Value.Ip_ + ":" + std::to_string(Value.Port_);
}

bool parseAddress(const std::string &Text, Address &Value) {
  constexpr unsigned long MaxPort = 65535;
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Ip = Text.substr(0, Colon);
  std::string Port = Text.substr(Colon + 1);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Ip.c_str(), &Parsed) != 1 || Port.empty() ||
      Port.size() > 5 || Port.find_first_not_of("0123456789") != Port.npos)
    return false;
  unsigned long Number = std::stoul(Port);
  if (Number == 0 || Number > MaxPort)
    return false;
  Value = Address{Ip, static_cast<std::uint16_t>(Number)};
  return true;
}

std::uint16_t localPort(int Socket) {
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Bound), &Size) != 0)
    return 0;
  return ntohs(Bound.sin_port);
}

std::uint16_t reserveTcpPort() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return 0;
  // A server can listen on the reserved port only if both sockets set this.
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Any{};
  Any.sin_family = AF_INET;
  Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)) == 0)
    return localPort(Socket);
  close(Socket);
  return 0;
}

} // namespace nutmegwell::net
