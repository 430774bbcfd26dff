#pragma once

#include "nutmegwell/aio/inputguard.h"
#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/address.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegwell::aio {

/// Identifies a link within its process; not reused.
using LinkId = std::uint64_t;

/// Called on the loop's thread.
struct LinkHandlers {
  std::function<void(LinkId)> Opened_;
  std::function<void(LinkId, std::string)> Received_;
  std::function<void(LinkId)> Closed_;
  /// Optional; called while a frame arrives that takes several reads, at most
  /// every ProgressInterval.
  std::function<void(LinkId)> Progress_{};
};

struct LinkLimits {
  std::size_t MaxFrame_ = 8 << 20;
  /// Maximum bytes queued for a slow peer; the link is closed when they exceed
  /// it.
  std::size_t MaxQueued_ = 16 << 20;
  /// Maximum bytes queued for all peers together. Beyond it, the links with the
  /// longest queues are closed, but not one whose only frame was queued last.
  std::size_t MaxQueuedTotal_ = 16 << 20;
  /// A link that receives nothing for this long is closed. Peers send at least
  /// every 500 ms.
  core::Duration SilenceTimeout_ = std::chrono::milliseconds(2000);
  core::Duration ConnectTimeout_ = std::chrono::milliseconds(1000);
  /// Maximum number of accepted links. Beyond it, links that have not sent a
  /// frame are closed first.
  std::size_t MaxAccepted_ = 2048;
  /// Bytes that incomplete frames of accepted links may hold together: two
  /// frames of the maximum size, so that one peer cannot use them up.
  std::size_t MaxIncomplete_ = 2 * MaxFrame_;
};

/// TCP connections between the project's processes, both dialled and accepted,
/// that carry length-prefixed frames. Call all functions on the loop's thread.
class Links {
public:
  /// \p OnRefused is called for each link that is closed because of the limits.
  Links(Loop &Owner, const LinkLimits &Limits, LinkHandlers Handlers,
        RefusalHandler OnRefused = {});
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;
  /// Closes all links without calling a handler.
  ~Links();

  /// Accepts links at \p Listen and returns the bound port. Throws
  /// std::runtime_error when \p Listen cannot be bound.
  std::uint16_t listen(const net::Address &Listen);

  /// Starts to connect to \p Peer. Opened_ is called once the link is open, or
  /// Closed_ when the attempt fails.
  LinkId dial(const net::Address &Peer);

  /// Queues a frame. A frame for a closed link is dropped; Closed_ was called
  /// for that link.
  void send(LinkId Id, std::string Frame);

  /// Closes a link and calls Closed_. Does nothing for a link that is already
  /// closed.
  void close(LinkId Id);

  static constexpr core::Duration ProgressInterval =
      std::chrono::milliseconds(50);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
