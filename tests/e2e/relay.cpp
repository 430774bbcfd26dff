#include "relay.h"

#include "nutmegwell/wire/binary.h"
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

using namespace nutmegwell;

namespace e2e {

Relay::Relay(const Cluster &All)
    : Entries_(All.entryAddresses()), Listener_(boundSocket(SOCK_STREAM, 0)),
      ToEntries_({"127.0.0.1", 0},
                 [this](const Address &, const std::string &Bytes) {
                   std::lock_guard<std::mutex> Lock(Mutex_);
                   ToAgent_.send(Agent_, Bytes);
                 }),
      ToAgent_({"127.0.0.1", 0},
               [this](const Address &From, const std::string &Bytes) {
                 passHeartbeat(From, Bytes);
               }) {
  if (listen(Listener_, SOMAXCONN) != 0 || pipe2(Wake_, O_CLOEXEC) != 0)
    throw std::runtime_error("the relay cannot listen");
  Thread_ = std::thread([this] { run(); });
}

Relay::~Relay() {
  ToAgent_.stop();
  ToEntries_.stop();
  // The end of the pipe ends the thread.
  close(Wake_[1]);
  Thread_.join();
  for (int Socket : Sockets_)
    close(Socket);
  close(Listener_);
  close(Wake_[0]);
}

Address Relay::heartbeats() const { return {"127.0.0.1", ToAgent_.port()}; }

std::size_t Relay::silence() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  const std::size_t Count = Targets_.size() / 2;
  Targets_.clear();
  if (write(Wake_[1], "s", 1) != 1)
    throw std::runtime_error("the relay cannot be woken");
  return Count;
}

void Relay::passHeartbeat(const Address &From, const std::string &Bytes) {
  auto Message = wire::decodeDatagram(Bytes);
  auto *Beat =
      Message.ok() ? std::get_if<model::Heartbeat>(&*Message) : nullptr;
  if (!Beat)
    return;
  std::lock_guard<std::mutex> Lock(Mutex_);
  Agent_ = From;
  net::parseAddress(Beat->RequestAddress_, Requests_);
  Beat->RequestAddress_ =
      net::toString({"127.0.0.1", net::localPort(Listener_)});
  for (const Address &Entry : Entries_)
    ToEntries_.send(Entry, wire::encode(*Message));
}

void Relay::run() {
  while (true) {
    std::vector<pollfd> Waits = {{Listener_, POLLIN, 0}, {Wake_[0], POLLIN, 0}};
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      for (const auto &[From, To] : Targets_)
        Waits.push_back({From, POLLIN, 0});
    }
    poll(Waits.data(), Waits.size(), -1);
    char Byte;
    if (Waits[1].revents && read(Wake_[0], &Byte, 1) != 1)
      return;
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (std::size_t I = 2; I < Waits.size(); ++I)
      if (Waits[I].revents)
        forward(Waits[I].fd);
    if (Waits[0].revents)
      acceptOne();
  }
}

void Relay::acceptOne() {
  const int In = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
  const int Out = connectedSocket(Requests_.Port_);
  for (int Socket : {In, Out})
    if (Socket >= 0)
      Sockets_.push_back(Socket);
  if (In >= 0 && Out >= 0) {
    Targets_[In] = Out;
    Targets_[Out] = In;
  } else if (In >= 0) {
    shutdown(In, SHUT_RDWR);
  }
}

void Relay::forward(int From) {
  auto Target = Targets_.find(From);
  if (Target == Targets_.end())
    return;
  char Buffer[16 << 10];
  const ssize_t Count = recv(From, Buffer, sizeof(Buffer), 0);
  if (Count > 0 && send(Target->second, Buffer, Count, MSG_NOSIGNAL) == Count)
    return;
  shutdown(Target->second, SHUT_WR);
  Targets_.erase(Target);
}

} // namespace e2e
