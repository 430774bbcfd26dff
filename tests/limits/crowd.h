#pragma once

#include "nutmegwell/net/address.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace limits {

/// What each client of a crowd sends: Head_, then Repeated_ over and over up to
/// Size_ bytes in total.
struct ClientPlan {
  std::string Head_;
  std::string Repeated_;
  std::size_t Size_ = 0;
};

/// Clients that connect, send what their plan says and stay connected without
/// reading.
class Crowd {
public:
  Crowd(const nutmegwell::net::Address &Server, std::size_t Count,
        const ClientPlan &Plan);
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd();

  /// Sends until each client has sent everything or was disconnected, or until
  /// the server has taken nothing for a second.
  void run();

  std::size_t sentBytes() const { return SentBytes_; }
  /// Returns the number of clients whose connection failed while they sent.
  std::size_t disconnected() const { return Disconnected_; }

private:
  struct Client;

  void onProgress(std::size_t Sent);
  void onEnd(bool Failed);

  boost::asio::io_context Context_{1};
  boost::asio::steady_timer Stall_{Context_};
  std::vector<std::unique_ptr<Client>> Clients_;
  std::size_t Active_ = 0;
  std::size_t SentBytes_ = 0;
  std::size_t Disconnected_ = 0;
};

} // namespace limits
