#include "nutmegwell/net/frame.h"

#include "frameio.h"
#include <algorithm>
#include <cerrno>
#include <cxxtools/ioerror.h>
#include <poll.h>

namespace nutmegwell::net {

namespace {

/// Sent by a server when it has a thread for the connection.
constexpr std::string_view Greeting = "nwf1";
constexpr std::size_t PrefixSize = 4;
/// Length that stands for the notice of closing; no frame is that long.
constexpr std::uint32_t ClosingMark = 0xFFFFFFFE;

core::TimePoint now() { return core::steadyClock().Now_(); }

/// Returns the milliseconds left until \p Deadline, rounded up.
int millisecondsLeft(core::TimePoint Deadline) {
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(Deadline - now());
  return static_cast<int>(std::max<std::int64_t>(0, Left.count()));
}

std::string toPrefix(std::uint32_t Size) {
  std::string Bytes;
  for (std::size_t I = 0; I < PrefixSize; ++I)
    Bytes.push_back(static_cast<char>(Size >> (8 * I)));
  return Bytes;
}

absl::Status failure(absl::StatusCode Code, const char *Step,
                     const std::string &Peer, std::string_view Message) {
  return core::makeError(Code, Step, Peer, Message);
}

} // namespace

bool waitReadable(int Socket, int Wake, core::TimePoint Deadline) {
  pollfd Waits[2] = {{Socket, POLLIN, 0}, {Wake, POLLIN, 0}};
  while (poll(Waits, Wake < 0 ? 1 : 2, millisecondsLeft(Deadline)) < 0 &&
         errno == EINTR)
    continue;
  return Waits[0].revents != 0;
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
        return failure(absl::StatusCode::kUnavailable, "receive", Peer_,
                       "connection closed by the peer");
      Target += Read;
      Size -= Read;
    }
    return absl::OkStatus();
  } catch (const cxxtools::IOTimeout &) {
    return failure(absl::StatusCode::kDeadlineExceeded, "receive", Peer_,
                   "silent within a frame");
  } catch (const std::exception &Error) {
    return failure(absl::StatusCode::kUnavailable, "receive", Peer_,
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
    return failure(absl::StatusCode::kDeadlineExceeded, "send", Peer_,
                   "the peer takes no bytes");
  } catch (const std::exception &Error) {
    return failure(absl::StatusCode::kUnavailable, "send", Peer_, Error.what());
  }
}

absl::Status FrameConnection::Impl::greet() {
  return writeAll(Greeting, now() + Limits_.WriteTimeout_);
}

FrameConnection::FrameConnection(std::unique_ptr<Impl> Connected)
    : Impl_(std::move(Connected)) {}

FrameConnection::~FrameConnection() = default;

absl::StatusOr<std::unique_ptr<FrameConnection>>
FrameConnection::connect(const Address &Server, const FrameLimits &Limits,
                         core::Duration Timeout) {
  const core::TimePoint Deadline = now() + Timeout;
  auto Made = std::make_unique<Impl>(Limits);
  Made->Peer_ = toString(Server);
  try {
    Made->Socket_.setTimeout(
        cxxtools::Milliseconds(std::max(1, millisecondsLeft(Deadline))));
    Made->Socket_.connect(Server.Ip_, Server.Port_);
  } catch (const std::exception &Error) {
    return failure(absl::StatusCode::kUnavailable, "connect", Made->Peer_,
                   Error.what());
  }
  char Received[Greeting.size()];
  absl::Status Greeted = Made->readAll(Received, sizeof(Received), Deadline);
  if (!Greeted.ok() || std::string_view(Received, sizeof(Received)) != Greeting)
    return failure(absl::StatusCode::kUnavailable, "connect", Made->Peer_,
                   "no greeting of a frame server");
  return std::make_unique<FrameConnection>(std::move(Made));
}

absl::Status FrameConnection::Impl::noticeClosing() {
  return writeAll(toPrefix(ClosingMark), now() + Limits_.WriteTimeout_);
}

absl::Status FrameConnection::send(std::string_view Payload) {
  if (Payload.size() > Impl_->Limits_.MaxFrame_)
    return failure(absl::StatusCode::kInvalidArgument, "send", Impl_->Peer_,
                   "frame above the bound");
  std::string Bytes = toPrefix(static_cast<std::uint32_t>(Payload.size()));
  Bytes.append(Payload);
  return Impl_->writeAll(Bytes, now() + Impl_->Limits_.WriteTimeout_);
}

absl::StatusOr<std::string> FrameConnection::receive(core::Duration Wait) {
  const core::TimePoint WaitEnd = now() + Wait;
  std::uint32_t Size = ClosingMark;
  core::TimePoint Deadline;
  while (Size == ClosingMark) {
    if (!waitReadable(Impl_->Socket_.getFd(), -1, WaitEnd))
      return failure(absl::StatusCode::kDeadlineExceeded, "receive",
                     Impl_->Peer_, "silent connection");
    Deadline = now() + Impl_->Limits_.ReadTimeout_;
    char Prefix[PrefixSize];
    absl::Status Read = Impl_->readAll(Prefix, sizeof(Prefix), Deadline);
    if (!Read.ok())
      return Read;
    Size = 0;
    for (std::size_t I = 0; I < PrefixSize; ++I)
      Size |= std::uint32_t{static_cast<unsigned char>(Prefix[I])} << (8 * I);
    Impl_->Closing_ = Impl_->Closing_ || Size == ClosingMark;
  }
  if (Size > Impl_->Limits_.MaxFrame_)
    return failure(absl::StatusCode::kInvalidArgument, "receive", Impl_->Peer_,
                   "frame above the bound");
  // Grows with what arrives, so that a hostile prefix allocates nothing.
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
