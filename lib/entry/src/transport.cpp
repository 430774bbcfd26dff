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

routing::AttemptResult failed(routing::Outcome Outcome,
                              routing::Failure Reason) {
  routing::AttemptResult Result;
  Result.Outcome_ = Outcome;
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
    return failed(routing::Outcome::NotRun,
                  {Refused->Code_, "agent", Peer, "refused by the agent"});
  if (const auto *Lost = std::get_if<model::OutcomeUnknownFrame>(&Frame))
    return failed(routing::Outcome::Unknown,
                  {Lost->Code_, "agent", Peer, "no answer from the upstream"});
  return std::nullopt;
}

struct IdleConnection {
  core::TimePoint LastUsed_;
  ConnectionPointer Connection_;
};

/// Exchanges frames with agents over pooled connections.
class TcpTransport {
public:
  TcpTransport(const TransportSettings &Settings, core::Clock Clock)
      : Settings_(Settings), Clock_(std::move(Clock)) {}

  /// Sends \p Frame and waits for the result of \p Attempt. Returns the outcome
  /// \p OutcomeIfUnsent when the frame is too large or no connection can be
  /// made.
  routing::AttemptResult exchange(const std::string &Address,
                                  const core::AttemptId &Attempt,
                                  const model::Frame &Frame,
                                  core::TimePoint Deadline,
                                  routing::Outcome OutcomeIfUnsent) {
    const std::string Bytes = wire::encode(Frame);
    if (Bytes.size() > Settings_.Frames_.MaxFrame_)
      return failed(OutcomeIfUnsent,
                    {"body_too_large", "send", Address,
                     "the request exceeds the maximum frame size"});
    auto Connection = acquire(Address, Deadline);
    if (!Connection.ok())
      return failed(OutcomeIfUnsent,
                    toFailure("agent_unreachable", Connection.status()));
    absl::Status Sent = (*Connection)->send(Bytes);
    if (!Sent.ok())
      return failed(routing::Outcome::Unknown,
                    toFailure("connection_lost", Sent));
    auto Result = awaitResult(**Connection, Attempt, Deadline);
    if (!Result.ok())
      return failed(
          routing::Outcome::Unknown,
          toFailure(failureCode(Result.status(), Deadline), Result.status()));
    release(Address, std::move(*Connection));
    return std::move(*Result);
  }

private:
  core::Duration remaining(core::TimePoint Deadline) const {
    return std::max(core::Duration::zero(), Deadline - Clock_.Now_());
  }

  const char *failureCode(const absl::Status &Error,
                          core::TimePoint Deadline) const {
    if (Clock_.Now_() >= Deadline)
      return "deadline_exceeded";
    return absl::IsDeadlineExceeded(Error) ? "connection_silent"
                                           : "connection_lost";
  }

  /// Waits for the result of \p Attempt and drops frames of other attempts.
  absl::StatusOr<routing::AttemptResult>
  awaitResult(net::FrameConnection &Connection, const core::AttemptId &Attempt,
              core::TimePoint Deadline) {
    core::TimePoint SilentAt = Clock_.Now_() + Settings_.SilenceTimeout_;
    while (true) {
      auto Bytes = Connection.receive(remaining(std::min(SilentAt, Deadline)));
      if (!Bytes.ok())
        return Bytes.status();
      auto Frame = wire::decodeFrame(*Bytes);
      if (!Frame.ok())
        return core::makeError(absl::StatusCode::kInvalidArgument, "receive",
                               Connection.peer(),
                               "the frame cannot be decoded");
      SilentAt = Clock_.Now_() + Settings_.SilenceTimeout_;
      if (!routing::isForAttempt(*Frame, Attempt))
        continue;
      if (auto Result = toResult(std::move(*Frame), Connection.peer()))
        return std::move(*Result);
    }
  }

  absl::StatusOr<ConnectionPointer> acquire(const std::string &Address,
                                            core::TimePoint Deadline) {
    net::Address Server;
    if (!net::parseAddress(Address, Server))
      return core::makeError(absl::StatusCode::kInvalidArgument, "connect",
                             Address, "not a valid IP:PORT address");
    while (ConnectionPointer Idle = takeIdleConnection(Address))
      if (Idle->quiet())
        return Idle;
    return net::FrameConnection::connect(
        Server, Settings_.Frames_,
        std::min(Settings_.ConnectTimeout_, remaining(Deadline)));
  }

  ConnectionPointer takeIdleConnection(const std::string &Address) {
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

  void release(const std::string &Address, ConnectionPointer Used) {
    // Declared before the lock, so that these connections are closed after it
    // is released.
    std::vector<IdleConnection> Expired;
    const core::TimePoint Now = Clock_.Now_();
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::vector<IdleConnection> &Idle = Idle_[Address];
    if (Idle.size() < Settings_.MaxIdle_)
      Idle.push_back({Now, std::move(Used)});
    if (Now >= NextExpiryCheck_) {
      NextExpiryCheck_ = Now + Settings_.IdleTimeout_;
      removeExpired(Now - Settings_.IdleTimeout_, Expired);
    }
  }

  /// Moves connections that were last used before \p Cutoff to \p Expired.
  void removeExpired(core::TimePoint Cutoff,
                     std::vector<IdleConnection> &Expired) {
    for (auto I = Idle_.begin(); I != Idle_.end();) {
      // The most recently used connection is reused first, so the oldest are in
      // front.
      auto End = std::find_if(
          I->second.begin(), I->second.end(),
          [&](const IdleConnection &Each) { return Each.LastUsed_ >= Cutoff; });
      Expired.insert(Expired.end(), std::make_move_iterator(I->second.begin()),
                     std::make_move_iterator(End));
      I->second.erase(I->second.begin(), End);
      I = I->second.empty() ? Idle_.erase(I) : std::next(I);
    }
  }

  const TransportSettings Settings_;
  const core::Clock Clock_;
  std::mutex Mutex_;
  std::map<std::string, std::vector<IdleConnection>> Idle_;
  core::TimePoint NextExpiryCheck_{};
};

} // namespace

AttemptTransport tcpTransport(const TransportSettings &Settings,
                              core::Clock Clock) {
  auto Shared = std::make_shared<TcpTransport>(Settings, std::move(Clock));
  AttemptTransport Result;
  Result.SendAttempt_ = [Shared](const std::string &Address,
                                 const model::RequestFrame &Frame,
                                 core::TimePoint Deadline) {
    return Shared->exchange(Address, Frame.Attempt_, Frame, Deadline,
                            routing::Outcome::NotRun);
  };
  Result.QueryAttempt_ = [Shared](const std::string &Address,
                                  const model::KeyQueryFrame &Frame,
                                  core::TimePoint Deadline) {
    return Shared->exchange(Address, Frame.Attempt_, Frame, Deadline,
                            routing::Outcome::Unknown);
  };
  return Result;
}

} // namespace nutmegwell::entry
