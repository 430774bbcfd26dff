#include "nutmegwell/entry/transport.h"

#include "nutmegwell/wire/binary.h"
#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace nutmegwell::entry {

namespace {

using ConnectionPointer = std::unique_ptr<net::FrameConnection>;

routing::AttemptResult ended(routing::Outcome End, routing::Failure Reason) {
  routing::AttemptResult Result;
  Result.Outcome_ = End;
  Result.Failure_ = std::move(Reason);
  return Result;
}

routing::Failure toFailure(std::string Code, const absl::Status &Error) {
  return {std::move(Code), core::stepOf(Error), core::peerOf(Error),
          std::string(Error.message())};
}

/// Returns the result that \p Frame carries, or nothing when the attempt is
/// still running.
std::optional<routing::AttemptResult> toResult(model::Frame Frame,
                                               const std::string &Peer) {
  if (auto *Answer = std::get_if<model::AnswerFrame>(&Frame)) {
    routing::AttemptResult Result;
    Result.Outcome_ = routing::Outcome::Answered;
    Result.Answer_ = std::move(*Answer);
    return Result;
  }
  if (const auto *Refused = std::get_if<model::NotRunFrame>(&Frame))
    return ended(routing::Outcome::NotRun,
                 {Refused->Code_, "agent", Peer, "refused by the agent"});
  if (const auto *Lost = std::get_if<model::OutcomeUnknownFrame>(&Frame))
    return ended(routing::Outcome::Unknown,
                 {Lost->Code_, "agent", Peer, "no answer from the upstream"});
  return std::nullopt;
}

struct IdleConnection {
  core::TimePoint Used_;
  ConnectionPointer Connection_;
};

/// Exchanges frames with agents over pooled connections.
class TcpTransport {
public:
  TcpTransport(const TransportSettings &Settings, core::Clock Clock)
      : Settings_(Settings), Clock_(std::move(Clock)) {}

  /// Sends \p Frame and waits for the result of \p Attempt. Returns the outcome
  /// \p OutcomeIfUnsent when no connection can be made.
  routing::AttemptResult exchange(const std::string &Address,
                                  const core::AttemptId &Attempt,
                                  const model::Frame &Frame,
                                  core::TimePoint Deadline,
                                  routing::Outcome Unsent) {
    const std::string Bytes = wire::encode(Frame);
    if (Bytes.size() > Settings_.Frames_.MaxFrame_)
      return ended(Unsent, {"body_too_large", "send", Address,
                            "the request exceeds the maximum frame size"});
    auto Connection = take(Address, Deadline);
    if (!Connection.ok())
      return ended(Unsent, toFailure("agent_unreachable", Connection.status()));
    absl::Status Sent = (*Connection)->send(Bytes);
    if (!Sent.ok())
      return ended(routing::Outcome::Unknown,
                   toFailure("connection_lost", Sent));
    auto Result = await(**Connection, Attempt, Deadline);
    if (!Result.ok())
      return ended(
          routing::Outcome::Unknown,
          toFailure(lossCode(Result.status(), Deadline), Result.status()));
    keep(Address, std::move(*Connection));
    return std::move(*Result);
  }

private:
  core::Duration left(core::TimePoint Deadline) const {
    return std::max(core::Duration::zero(), Deadline - Clock_.Now_());
  }

  const char *lossCode(const absl::Status &Error,
                       core::TimePoint Deadline) const {
    if (Clock_.Now_() >= Deadline)
      return "deadline_exceeded";
    return absl::IsDeadlineExceeded(Error) ? "connection_silent"
                                           : "connection_lost";
  }

  /// Waits for the result of \p Attempt and drops frames of other attempts.
  absl::StatusOr<routing::AttemptResult> await(net::FrameConnection &Connection,
                                               const core::AttemptId &Attempt,
                                               core::TimePoint Deadline) {
    core::TimePoint Silent = Clock_.Now_() + Settings_.SilenceTimeout_;
    while (true) {
      auto Bytes = Connection.receive(left(std::min(Silent, Deadline)));
      if (!Bytes.ok())
        return Bytes.status();
      auto Frame = wire::decodeFrame(*Bytes);
      if (!Frame.ok())
        return core::makeError(absl::StatusCode::kInvalidArgument, "receive",
                               Connection.peer(),
                               "the frame cannot be decoded");
      Silent = Clock_.Now_() + Settings_.SilenceTimeout_;
      if (!routing::isForAttempt(*Frame, Attempt))
        continue;
      if (auto Result = toResult(std::move(*Frame), Connection.peer()))
        return std::move(*Result);
    }
  }

  absl::StatusOr<ConnectionPointer> take(const std::string &Address,
                                         core::TimePoint Deadline) {
    net::Address Server;
    if (!net::parseAddress(Address, Server))
      return core::makeError(absl::StatusCode::kInvalidArgument, "connect",
                             Address, "not a valid IP:PORT address");
    while (ConnectionPointer Kept = takeIdle(Address))
      if (Kept->quiet())
        return Kept;
    return net::FrameConnection::connect(
        Server, Settings_.Frames_,
        std::min(Settings_.ConnectTimeout_, left(Deadline)));
  }

  ConnectionPointer takeIdle(const std::string &Address) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Found = Idle_.find(Address);
    if (Found == Idle_.end())
      return nullptr;
    ConnectionPointer Taken = std::move(Found->second.back().Connection_);
    Found->second.pop_back();
    if (Found->second.empty())
      Idle_.erase(Found);
    return Taken;
  }

  void keep(const std::string &Address, ConnectionPointer Used) {
    // Declared before the lock, so that these connections are closed after it
    // is released.
    std::vector<IdleConnection> Old;
    const core::TimePoint Now = Clock_.Now_();
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::vector<IdleConnection> &Kept = Idle_[Address];
    if (Kept.size() < Settings_.MaxIdle_)
      Kept.push_back({Now, std::move(Used)});
    if (Now >= NextSweep_) {
      NextSweep_ = Now + Settings_.IdleLimit_;
      sweep(Now - Settings_.IdleLimit_, Old);
    }
  }

  /// Moves connections that were last used before \p Cutoff to \p Expired.
  void sweep(core::TimePoint Since, std::vector<IdleConnection> &Old) {
    for (auto I = Idle_.begin(); I != Idle_.end();) {
      // The most recently used connection is reused first, so the oldest are in
      // front.
      auto End = std::find_if(
          I->second.begin(), I->second.end(),
          [&](const IdleConnection &Each) { return Each.Used_ >= Since; });
      Old.insert(Old.end(), std::make_move_iterator(I->second.begin()),
                 std::make_move_iterator(End));
      I->second.erase(I->second.begin(), End);
      I = I->second.empty() ? Idle_.erase(I) : std::next(I);
    }
  }

  const TransportSettings Settings_;
  const core::Clock Clock_;
  std::mutex Mutex_;
  std::map<std::string, std::vector<IdleConnection>> Idle_;
  core::TimePoint NextSweep_{};
};

} // namespace

AttemptTransport tcpTransport(const TransportSettings &Settings,
                              core::Clock Clock) {
  auto Shared = std::make_shared<TcpTransport>(Settings, std::move(Clock));
  AttemptTransport Result;
  Result.Run_ = [Shared](const std::string &Address,
                         const model::RequestFrame &Frame,
                         core::TimePoint Deadline) {
    return Shared->exchange(Address, Frame.Attempt_, Frame, Deadline,
                            routing::Outcome::NotRun);
  };
  Result.Query_ = [Shared](const std::string &Address,
                           const model::KeyQueryFrame &Frame,
                           core::TimePoint Deadline) {
    return Shared->exchange(Address, Frame.Attempt_, Frame, Deadline,
                            routing::Outcome::Unknown);
  };
  return Result;
}

} // namespace nutmegwell::entry
