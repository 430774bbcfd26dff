#pragma once

#include "cluster.h"
#include "nutmegwell/net/udp.h"
#include <mutex>
#include <thread>

namespace e2e {

/// Stands between the entry hosts and one agent. It passes heartbeats and their
/// answers on and puts its own address for requests into them, so that it also
/// forwards the connections that carry requests.
class Relay {
public:
  explicit Relay(const Cluster &All);
  ~Relay();

  /// Returns where the agent sends its heartbeats.
  Address heartbeats() const;

  /// Forwards nothing more on the connections that are open now and keeps them
  /// open; new ones work. Returns how many went silent.
  std::size_t silence();

private:
  void passHeartbeat(const Address &From, const std::string &Bytes);
  void run();
  void acceptOne();
  void forward(int From);

  const std::vector<Address> Entries_;
  int Listener_;
  int Wake_[2];
  std::mutex Mutex_;
  /// Where the agent sends heartbeats from and takes requests.
  Address Agent_, Requests_;
  /// The socket to which the bytes of each socket go.
  std::map<int, int> Targets_;
  std::vector<int> Sockets_;
  nutmegwell::net::UdpEndpoint ToEntries_, ToAgent_;
  std::thread Thread_;
};

} // namespace e2e
