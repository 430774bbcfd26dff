#pragma once

#include "cluster.h"
#include "nutmegwell/net/udp.h"
#include "nutmegwell/wire/binary.h"
#include <atomic>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <memory>
#include <mutex>
#include <sys/socket.h>
#include <thread>

namespace e2e {

/// Stands between the entry hosts and one agent. It passes heartbeats and their
/// answers on and puts its own address for requests into them, so that it also
/// forwards the connections that carry requests.
class Relay {
public:
  explicit Relay(const Cluster &All) : Entries_(All.entryAddresses()) {}

  ~Relay() {
    ToAgent_.stop();
    ToEntries_.stop();
    Server_.terminateAccept();
    Acceptor_.join();
    for (const auto &Each : Links_) {
      shutdown(Each->In_.getFd(), SHUT_RDWR);
      shutdown(Each->Out_.getFd(), SHUT_RDWR);
      Each->Up_.join();
      Each->Down_.join();
    }
  }

  /// Returns where the agent sends its heartbeats.
  Address heartbeats() const { return {"127.0.0.1", ToAgent_.port()}; }

  /// Forwards nothing more on the connections that are open now and keeps them
  /// open; new ones work. Returns how many there have been.
  std::size_t silence() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (const auto &Each : Links_)
      Each->Silent_ = true;
    return Links_.size();
  }

private:
  using Socket = cxxtools::net::TcpSocket;

  struct Link {
    Socket In_, Out_;
    std::atomic<bool> Silent_{false};
    std::thread Up_, Down_;
  };

  void passHeartbeat(const Address &From, const std::string &Bytes) {
    auto Message = nutmegwell::wire::decodeDatagram(Bytes);
    if (!Message.ok())
      return;
    auto &Beat = std::get<nutmegwell::model::Heartbeat>(*Message);
    std::lock_guard<std::mutex> Lock(Mutex_);
    Agent_ = From;
    nutmegwell::net::parseAddress(Beat.RequestAddress_, Requests_);
    Beat.RequestAddress_ = nutmegwell::net::toString(Front_);
    for (const Address &Entry : Entries_)
      ToEntries_.send(Entry, nutmegwell::wire::encode(*Message));
  }

  void acceptAll() {
    try {
      while (true) {
        auto New = std::make_unique<Link>();
        New->In_.accept(Server_);
        std::lock_guard<std::mutex> Lock(Mutex_);
        New->Out_.connect(Requests_.Ip_, Requests_.Port_);
        Link &Known = *New;
        Known.Up_ = std::thread([&] { pump(Known, Known.In_, Known.Out_); });
        Known.Down_ = std::thread([&] { pump(Known, Known.Out_, Known.In_); });
        Links_.push_back(std::move(New));
      }
    } catch (const std::exception &) {
      // Accepting has ended.
    }
  }

  static void pump(const Link &Known, Socket &From, Socket &To) {
    try {
      char Buffer[16 << 10];
      for (std::size_t Count; (Count = From.read(Buffer, sizeof(Buffer))) > 0;)
        // What arrives on a silent connection is dropped.
        for (std::size_t Sent = 0; Sent < Count && !Known.Silent_;)
          Sent += To.write(Buffer + Sent, Count - Sent);
    } catch (const std::exception &) {
      // One side has closed the connection.
    }
    if (!Known.Silent_)
      shutdown(To.getFd(), SHUT_WR);
  }

  const std::vector<Address> Entries_;
  HeldPorts Ports_;
  const Address Front_ = Ports_.hold();
  std::mutex Mutex_;
  /// Where the agent sends heartbeats from and takes requests.
  Address Agent_, Requests_;
  std::vector<std::unique_ptr<Link>> Links_;
  cxxtools::net::TcpServer Server_{Front_.Ip_, Front_.Port_};
  nutmegwell::net::UdpEndpoint ToEntries_{
      {"127.0.0.1", 0}, [this](const Address &, const std::string &Bytes) {
        std::lock_guard<std::mutex> Lock(Mutex_);
        ToAgent_.send(Agent_, Bytes);
      }};
  nutmegwell::net::UdpEndpoint ToAgent_{
      {"127.0.0.1", 0}, [this](const Address &From, const std::string &Bytes) {
        passHeartbeat(From, Bytes);
      }};
  std::thread Acceptor_{[this] { acceptAll(); }};
};

} // namespace e2e
