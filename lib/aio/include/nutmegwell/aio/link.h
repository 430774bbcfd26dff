#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/address.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegwell::aio {

/// Number of a framed connection within its process.
using LinkId = std::uint64_t;

/// Called on the loop's thread.
struct LinkHandlers {
  std::function<void(LinkId)> Opened_;
  std::function<void(LinkId, std::string)> Received_;
  std::function<void(LinkId)> Closed_;
};

struct LinkLimits {
  std::size_t MaxFrame_ = 8 << 20;
  /// Bytes that wait for a slow peer; beyond them the link is closed.
  std::size_t MaxQueued_ = 16 << 20;
  /// Silence after which a link is closed. Peers send at least every 500 ms.
  core::Duration Silence_ = std::chrono::milliseconds(2000);
  core::Duration ConnectTimeout_ = std::chrono::milliseconds(1000);
};

/// TCP connections between the project's processes that carry length-prefixed
/// frames, dialled and accepted. All calls are on the loop's thread.
class Links {
public:
  Links(Loop &Owner, const LinkLimits &Limits, LinkHandlers Handlers);
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;
  /// Ends all links; no handler is called any more.
  ~Links();

  /// Accepts links at \p Listen. Throws std::runtime_error when it cannot be
  /// bound. Returns the port.
  std::uint16_t listen(const net::Address &Listen);

  /// Opens a link; Opened_ or Closed_ follows.
  LinkId dial(const net::Address &Peer);

  /// Queues a frame; one for a link that has ended is dropped, and Closed_ has
  /// told of it.
  void send(LinkId Id, std::string Frame);

  /// Ends a link; Closed_ follows unless it has been called.
  void close(LinkId Id);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
