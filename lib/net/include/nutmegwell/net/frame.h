#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/net/address.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegwell::net {

/// Bounds of framed connections.
struct FrameLimits {
  /// Largest payload of one frame in bytes.
  std::size_t MaxFrame_ = 4 << 20;
  /// Connections of a server at one time; each holds a thread.
  unsigned MaxConnections_ = 512;
  /// Time for the rest of a frame to arrive after its first byte.
  core::Duration ReadTimeout_ = std::chrono::seconds(5);
  /// Time for the peer to take a whole frame.
  core::Duration WriteTimeout_ = std::chrono::seconds(5);
  /// Time for which a stopping server still takes a frame that crossed its
  /// notice of closing.
  core::Duration CloseGrace_ = std::chrono::seconds(1);
};

/// TCP connection that carries length-prefixed frames. Not safe for use from
/// several threads.
class FrameConnection {
public:
  struct Impl;
  explicit FrameConnection(std::unique_ptr<Impl> Connected);
  FrameConnection(const FrameConnection &) = delete;
  FrameConnection &operator=(const FrameConnection &) = delete;
  ~FrameConnection();

  /// Connects and waits for the greeting of a frame server, both within
  /// \p Timeout. A failure has the step "connect": nothing was sent, and the
  /// server has no thread for this connection.
  static absl::StatusOr<std::unique_ptr<FrameConnection>>
  connect(const Address &Server, const FrameLimits &Limits,
          core::Duration Timeout);

  /// Sends one frame. A failure has the step "send": the peer may have got it,
  /// unless the code is InvalidArgument for a frame above the bound.
  absl::Status send(std::string_view Payload);

  /// Waits up to \p Wait for a frame's first byte and returns the whole frame.
  /// A failure has the step "receive": DeadlineExceeded for silence,
  /// Unavailable for a closed connection, InvalidArgument for a frame above
  /// the bound. The connection is of no use after a failure.
  absl::StatusOr<std::string> receive(core::Duration Wait);

  /// Returns true when nothing has arrived and the peer neither has closed nor
  /// is about to; only such a kept connection can be used again.
  bool quiet() const;

  const std::string &peer() const;

private:
  friend class FrameServer;
  std::unique_ptr<Impl> Impl_;
};

/// Called on the connection's thread for each frame. Returns false to close
/// the connection.
using FrameHandler = std::function<bool(FrameConnection &, std::string)>;

/// Counters of a frame server.
struct FrameCounts {
  std::uint64_t Accepted_ = 0;
  /// Connections above the bound, closed without a greeting.
  std::uint64_t Refused_ = 0;
  /// Connections closed for silence within a frame or a frame above the bound.
  std::uint64_t Broken_ = 0;
};

/// Listens for framed connections and handles each on its own thread.
class FrameServer {
public:
  /// Throws std::runtime_error when \p Listen cannot be bound.
  /// \p Stopping may be empty; stop() calls it once when no more connections
  /// are accepted, before it waits for those that are open.
  FrameServer(const Address &Listen, const FrameLimits &Limits,
              FrameHandler Handler, std::function<void()> Stopping = {});
  FrameServer(const FrameServer &) = delete;
  FrameServer &operator=(const FrameServer &) = delete;
  ~FrameServer();

  FrameCounts counts() const;

  /// Accepts no more and tells clients that their connections close. Frames
  /// that have started to arrive, and those that cross the notice within the
  /// grace time, are still handled; waits for all of them.
  void stop();

private:
  struct Impl;
  static bool greet(FrameConnection &Connection);
  static bool noticeClosing(FrameConnection &Connection);
  static int descriptor(const FrameConnection &Connection);

  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::net
