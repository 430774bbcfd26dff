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

/// Limits of framed connections.
struct FrameLimits {
  /// Maximum payload of one frame in bytes.
  std::size_t MaxFrame_ = 4 << 20;
  /// Maximum number of open connections of a server; each uses a thread.
  unsigned MaxConnections_ = 512;
  /// Timeout for the rest of a frame after its first byte.
  core::Duration ReadTimeout_ = std::chrono::seconds(5);
  /// Timeout for sending one frame.
  core::Duration WriteTimeout_ = std::chrono::seconds(5);
  /// How long a stopping server still accepts frames on an open connection. A
  /// peer may have sent one before it read the closing notice.
  core::Duration CloseGrace_ = std::chrono::seconds(1);
};

/// TCP connection that carries length-prefixed frames. Not thread-safe.
class FrameConnection {
public:
  struct Impl;
  explicit FrameConnection(std::unique_ptr<Impl> Connected);
  FrameConnection(const FrameConnection &) = delete;
  FrameConnection &operator=(const FrameConnection &) = delete;
  ~FrameConnection();

  /// Connects and waits for the greeting of a frame server, both within
  /// \p Timeout. An error has the step "connect": no frame was sent, and the
  /// server has not assigned a thread to this connection.
  static absl::StatusOr<std::unique_ptr<FrameConnection>>
  connect(const Address &Server, const FrameLimits &Limits,
          core::Duration Timeout);

  /// Sends one frame. An error has the step "send": the peer may have received
  /// the frame, unless the code is InvalidArgument for a frame that exceeds
  /// MaxFrame_.
  absl::Status send(std::string_view Payload);

  /// Waits up to \p Wait for the first byte of a frame and returns its payload.
  /// An error has the step "receive": DeadlineExceeded for a timeout,
  /// Unavailable for a closed connection, InvalidArgument for a frame that
  /// exceeds MaxFrame_. The connection must not be used after an error.
  absl::StatusOr<std::string> receive(core::Duration Wait);

  /// Returns true if no data is waiting to be read and the peer has neither
  /// closed the connection nor announced that it will. Only such a connection
  /// may be reused for another request.
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
  /// Connections above MaxConnections_, closed without a greeting.
  std::uint64_t Refused_ = 0;
  /// Connections closed because a frame timed out or exceeded MaxFrame_.
  std::uint64_t InvalidFrames_ = 0;
};

/// Accepts framed connections and handles each on its own thread.
class FrameServer {
public:
  /// Throws std::runtime_error when \p Listen cannot be bound.
  /// \p OnStop may be empty. stop() calls it once, after it has stopped
  /// accepting connections and before it waits for the open ones.
  FrameServer(const Address &Listen, const FrameLimits &Limits,
              FrameHandler Handler, std::function<void()> OnStop = {});
  FrameServer(const FrameServer &) = delete;
  FrameServer &operator=(const FrameServer &) = delete;
  ~FrameServer();

  FrameCounts counts() const;

  /// Stops accepting connections and sends a closing notice on the open ones.
  /// Frames that have started to arrive, and those that arrive within
  /// CloseGrace_ after the notice, are still handled. Waits for all of them.
  void stop();

private:
  struct Impl;
  static bool sendGreeting(FrameConnection &Connection);
  static bool sendClosingNotice(FrameConnection &Connection);
  static int socketDescriptor(const FrameConnection &Connection);

  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::net
