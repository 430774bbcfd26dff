#include "nutmegwell/net/udp.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegwell::net {

namespace {

constexpr std::size_t MaxDatagramBytes = 65536;

sockaddr_in toSocketAddress(const Address &Value) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Value.Port_);
  inet_pton(AF_INET, Value.Ip_.c_str(), &Result.sin_addr);
  return Result;
}

Address fromSocketAddress(const sockaddr_in &Value) {
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Value.sin_addr, Text, sizeof(Text));
  return Address{Text, ntohs(Value.sin_port)};
}

} // namespace

UdpEndpoint::UdpEndpoint(const Address &Listen, Receiver OnDatagram)
    : OnDatagram_(std::move(OnDatagram)) {
  Socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  StopEvent_ = eventfd(0, EFD_CLOEXEC);
  sockaddr_in Bound = toSocketAddress(Listen);
  if (Socket_ < 0 || StopEvent_ < 0 ||
      bind(Socket_, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) != 0) {
    std::string Reason = std::strerror(errno);
    close(Socket_);
    close(StopEvent_);
    throw std::runtime_error("cannot bind UDP " + toString(Listen) + ": " +
                             Reason);
  }
  Port_ = localPort(Socket_);
  Thread_ = std::thread([this] { receiveLoop(); });
}

UdpEndpoint::~UdpEndpoint() {
  stop();
  close(Socket_);
  close(StopEvent_);
}

void UdpEndpoint::stop() {
  if (!Thread_.joinable())
    return;
  std::uint64_t One = 1;
  // A write to an eventfd fails only if its counter would overflow.
  if (write(StopEvent_, &One, sizeof(One)) == sizeof(One))
    Thread_.join();
}

void UdpEndpoint::send(const Address &To, std::string_view Bytes) {
  sockaddr_in Target = toSocketAddress(To);
  sendto(Socket_, Bytes.data(), Bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
         reinterpret_cast<sockaddr *>(&Target), sizeof(Target));
}

void UdpEndpoint::receiveLoop() {
  std::string Buffer(MaxDatagramBytes, '\0');
  pollfd PollSet[2] = {{Socket_, POLLIN, 0}, {StopEvent_, POLLIN, 0}};
  while (true) {
    if (poll(PollSet, 2, -1) < 0 && errno != EINTR)
      return;
    if (PollSet[1].revents != 0)
      return;
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    ssize_t Received =
        recvfrom(Socket_, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr *>(&From), &Size);
    if (Received > 0)
      OnDatagram_(fromSocketAddress(From), Buffer.substr(0, Received));
  }
}

} // namespace nutmegwell::net
