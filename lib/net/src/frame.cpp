#include "nutmegwell/net/frame.h"

#include "frameio.h"
#include <algorithm>
#include <cerrno>
#include <cxxtools/ioerror.h>
#include <poll.h>

namespace nutmegwell::net {

namespace {

/// Sent by a server once it has a thread for the connection.
constexpr std::string_view Greeting = "nwf1";
constexpr std::size_t PrefixSize = 4;
/// Value of the length prefix that is the closing notice; no frame is that
/// long.
constexpr std::uint32_t ClosingNotice = 0xFFFFFFFE;

core::TimePoint now() { return core::steadyClock().Now_(); }

/// Returns the milliseconds left until \p Deadline, rounded up.
int millisecondsLeft(core::TimePoint Deadline) {
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(Deadline - now());
  return static_cast<int>(std::max<std::int64_t>(0, Left.count()));
}

std::string encodePrefix(std::uint32_t Size) {
  std::string Bytes;
  for (std::size_t I = 0; I < PrefixSize; ++I)
    Bytes.push_back(static_cast<char>(Size >> (8 * I)));
  return Bytes;
}

absl::Status frameError(absl::StatusCode Code, const char *Step,
                        const std::string &Peer, std::string_view Message) {
  return core::makeError(Code, Step, Peer, Message);
}

} // namespace

bool waitReadable(int Socket, int StopEvent, core::TimePoint Deadline) {
  pollfd PollSet[2] = {{Socket, POLLIN, 0}, {StopEvent, POLLIN, 0}};
  while (poll(PollSet, StopEvent < 0 ? 1 : 2, millisecondsLeft(Deadline)) < 0 &&
         errno == EINTR)
    continue;
  return PollSet[0].revents != 0;
}

absl::Status FrameConnection::Impl::readAll(char *Target, std::size_t Size,
                                            core::TimePoint Deadline) {
  try {
    while (Size > 0) {
      const int Left = millisecondsLeft(Deadline);
      if (Left == 0)
        throw cxxtools::IOTimeout();
      Socket_.setTimeout(cxxtools::Milliseconds(Left));
      const std::size_t Read = Socket_.read(Target, Size);
      if (Read == 0)
        return frameError(absl::StatusCode::kUnavailable, "receive", Peer_,
                          "connection closed by the peer");
      Target += Read;
      Size -= Read;
    }
    return absl::OkStatus();
  } catch (const cxxtools::IOTimeout &) {
    return frameError(absl::StatusCode::kDeadlineExceeded, "receive", Peer_,
                      "timed out within a frame");
  } catch (const std::exception &Error) {
    return frameError(absl::StatusCode::kUnavailable, "receive", Peer_,
                      Error.what());
  }
}

absl::Status FrameConnection::Impl::writeAll(std::string_view Bytes,
                                             core::TimePoint Deadline) {
  try {
    while (!Bytes.empty()) {
      const int Left = millisecondsLeft(Deadline);
      if (Left == 0)
        throw cxxtools::IOTimeout();
      Socket_.setTimeout(cxxtools::Milliseconds(Left));
      Bytes.remove_prefix(Socket_.write(Bytes.data(), Bytes.size()));
    }
    return absl::OkStatus();
  } catch (const cxxtools::IOTimeout &) {
    return frameError(absl::StatusCode::kDeadlineExceeded, "send", Peer_,
                      "timed out because the peer does not read");
  } catch (const std::exception &Error) {
    return frameError(absl::StatusCode::kUnavailable, "send", Peer_,
                      Error.what());
  }
}

absl::Status FrameConnection::Impl::sendGreeting() {
  return writeAll(Greeting, now() + Limits_.WriteTimeout_);
}

FrameConnection::FrameConnection(std::unique_ptr<Impl> Connected)
    : Impl_(std::move(Connected)) {}

FrameConnection::~FrameConnection() = default;

absl::StatusOr<std::unique_ptr<FrameConnection>>
FrameConnection::connect(const Address &Server, const FrameLimits &Limits,
                         core::Duration Timeout) {
  const core::TimePoint Deadline = now() + Timeout;
  auto Connection = std::make_unique<Impl>(Limits);
  Connection->Peer_ = toString(Server);
  try {
    Connection->Socket_.setTimeout(
        cxxtools::Milliseconds(std::max(1, millisecondsLeft(Deadline))));
    Connection->Socket_.connect(Server.Ip_, Server.Port_);
  } catch (const std::exception &Error) {
    return frameError(absl::StatusCode::kUnavailable, "connect",
                      Connection->Peer_, Error.what());
  }
  char Received[Greeting.size()];
  absl::Status Greeted =
      Connection->readAll(Received, sizeof(Received), Deadline);
  if (!Greeted.ok() || std::string_view(Received, sizeof(Received)) != Greeting)
    return frameError(absl::StatusCode::kUnavailable, "connect",
                      Connection->Peer_,
                      "the server did not send the greeting of a frame server");
  return std::make_unique<FrameConnection>(std::move(Connection));
}

absl::Status FrameConnection::Impl::sendClosingNotice() {
  return writeAll(encodePrefix(ClosingNotice), now() + Limits_.WriteTimeout_);
}

absl::Status FrameConnection::send(std::string_view Payload) {
  if (Payload.size() > Impl_->Limits_.MaxFrame_)
    return frameError(absl::StatusCode::kInvalidArgument, "send", Impl_->Peer_,
                      "the frame exceeds the maximum frame size");
  std::string Bytes = encodePrefix(static_cast<std::uint32_t>(Payload.size()));
  Bytes.append(Payload);
  return Impl_->writeAll(Bytes, now() + Impl_->Limits_.WriteTimeout_);
}

absl::StatusOr<std::string> FrameConnection::receive(core::Duration Wait) {
  const core::TimePoint WaitEnd = now() + Wait;
  std::uint32_t Size = ClosingNotice;
  core::TimePoint Deadline;
  while (Size == ClosingNotice) {
    if (!waitReadable(Impl_->Socket_.getFd(), -1, WaitEnd))
      return frameError(absl::StatusCode::kDeadlineExceeded, "receive",
                        Impl_->Peer_, "no frame arrived in time");
    Deadline = now() + Impl_->Limits_.ReadTimeout_;
    char Prefix[PrefixSize];
    absl::Status Read = Impl_->readAll(Prefix, sizeof(Prefix), Deadline);
    if (!Read.ok())
      return Read;
    Size = 0;
    for (std::size_t I = 0; I < PrefixSize; ++I)
      Size |= std::uint32_t{static_cast<unsigned char>(Prefix[I])} << (8 * I);
    Impl_->Closing_ = Impl_->Closing_ || Size == ClosingNotice;
  }
  if (Size > Impl_->Limits_.MaxFrame_)
    return frameError(absl::StatusCode::kInvalidArgument, "receive",
                      Impl_->Peer_, "the frame exceeds the maximum frame size");
  // The buffer grows with the received data, so that a forged length prefix
  // cannot cause a large allocation.
  std::string Payload;
  constexpr std::size_t Chunk = 64 << 10;
  while (Payload.size() < Size) {
    const std::size_t Old = Payload.size();
    Payload.resize(std::min<std::size_t>(Size, Old + Chunk));
    absl::Status Read =
        Impl_->readAll(&Payload[Old], Payload.size() - Old, Deadline);
    if (!Read.ok())
      return Read;
  }
  return Payload;
}

bool FrameConnection::quiet() const {
  return !Impl_->Closing_ && !waitReadable(Impl_->Socket_.getFd(), -1, now());
}

const std::string &FrameConnection::peer() const { return Impl_->Peer_; }

} // namespace nutmegwell::net
