#include "nutmegwell/agent/requestserver.h"

#include "callpool.h"
#include "nutmegwell/wire/binary.h"
#include "nutmegwell/wire/json.h"
#include <condition_variable>
#include <mutex>

namespace nutmegwell::agent {

namespace {

/// Threads of the announcement server, which serves only the upstream on this
/// host.
constexpr unsigned AnnouncementThreads = 8;
constexpr std::size_t MaxAnnouncementBytes = 4096;
constexpr std::int64_t MaxPort = 65535;
constexpr char Loopback[] = "127.0.0.1";

/// Delivers the final frame of a running attempt to the connections that wait
/// for it.
struct Completion {
  std::mutex Mutex_;
  std::condition_variable Completed_;
  std::optional<model::Frame> FinalFrame_;

  void complete(model::Frame FinalFrame) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      FinalFrame_ = std::move(FinalFrame);
    }
    Completed_.notify_all();
  }

  /// Waits up to \p Timeout. Returns no frame while the attempt is running.
  std::optional<model::Frame> waitFor(core::Duration Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Completed_.wait_for(Lock, Timeout,
                        [this] { return FinalFrame_.has_value(); });
    return FinalFrame_;
  }
};

/// Converts the result of an upstream call into the final frame of \p Attempt.
model::Frame toFinalFrame(const core::AttemptId &Attempt,
                          absl::StatusOr<net::HttpResponse> Response) {
  if (Response.ok())
    return model::AnswerFrame{Attempt, Response->Status_,
                              std::move(Response->ContentType_),
                              std::move(Response->Body_)};
  if (core::stepOf(Response.status()) == "connect")
    return model::NotRunFrame{Attempt,
                              absl::IsInvalidArgument(Response.status())
                                  ? "bad_request"
                                  : "upstream_unreachable"};
  return model::OutcomeUnknownFrame{
      Attempt, absl::IsDeadlineExceeded(Response.status()) ? "upstream_timeout"
                                                           : "upstream_failed"};
}

net::HttpResponse badAnnouncement(const char *Message) {
  return {400, "application/json",
          std::string(R"({"code":"bad_announcement","outcome":"not_run",)"
                      R"("step":"announce","peer":"","message":")") +
              Message + "\"}"};
}

} // namespace

RequestServerPorts httpPorts() {
  RequestServerPorts Ports;
  Ports.Call_ = [](const net::Address &Upstream,
                   const net::HttpRequest &Request, core::Duration Timeout) {
    return net::HttpClient(Upstream).call(Request, Timeout);
  };
  return Ports;
}

struct RequestServer::Impl {
  Impl(const RequestServerSettings &Settings, RequestServerPorts Ports)
      : Settings_(Settings), Ports_(std::move(Ports)),
        Table_(makeTable(Settings)), UpstreamCalls_(Settings.MaxSlots_),
        FrameServer_(
            Settings.Listen_, Settings.Frames_,
            [this](net::FrameConnection &Connection, const std::string &Bytes) {
              return handleFrame(Connection, Bytes);
            },
            [this] {
              if (Ports_.Stopping_)
                Ports_.Stopping_(upstreamStatus().InFlight_);
            }),
        AnnouncementServer_(Settings.Announce_, announcementLimits(),
                            [this](const net::HttpRequest &Request) {
                              return handleAnnouncement(Request);
                            }) {}

  static AttemptTable makeTable(const RequestServerSettings &Settings) {
    AttemptTable Table;
    Table.Incarnation_ = Settings.Incarnation_;
    Table.Bounds_ = Settings.Attempts_;
    return Table;
  }

  static net::HttpLimits announcementLimits() {
    net::HttpLimits Limits;
    Limits.MaxBody_ = MaxAnnouncementBytes;
    Limits.MaxThreads_ = AnnouncementThreads;
    return Limits;
  }

  core::TimePoint now() const { return Ports_.Clock_.Now_(); }

  /// Handles one frame. Returns false to close the connection.
  bool handleFrame(net::FrameConnection &Connection, const std::string &Bytes) {
    auto Frame = wire::decodeFrame(Bytes);
    if (!Frame.ok())
      return false;
    if (auto *Request = std::get_if<model::RequestFrame>(&*Frame))
      return sendOutcome(Connection, Request->Attempt_,
                         startAttempt(std::move(*Request)));
    if (const auto *Query = std::get_if<model::KeyQueryFrame>(&*Frame))
      return sendOutcome(Connection, Query->Attempt_, queryAttempt(*Query));
    return false;
  }

  /// Reply to a frame: either the outcome of a running attempt, or a frame that
  /// is available now.
  struct PendingReply {
    /// Null when Reply_ is available.
    std::shared_ptr<Completion> Running_;
    model::Frame Reply_;
  };

  PendingReply startAttempt(model::RequestFrame Frame) {
    auto Running = std::make_shared<Completion>();
    AttemptDecision Decision;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Decision = decideRequest(Table_, Frame, now());
      if (Decision.Kind_ == AttemptDecision::Kind::Run)
        Running_[Frame.Attempt_] = Running;
    }
    if (Decision.Kind_ != AttemptDecision::Kind::Run)
      return {nullptr, Decision.Reply_};
    UpstreamCalls_.submit(
        [this, Running, Port = Decision.Port_,
         Shared = std::make_shared<model::RequestFrame>(std::move(Frame))] {
          callUpstream(*Shared, Port, *Running);
        });
    return {Running, {}};
  }

  PendingReply queryAttempt(const model::KeyQueryFrame &Frame) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    AttemptDecision Decision = decideKeyQuery(Table_, Frame, now());
    if (Decision.Kind_ == AttemptDecision::Kind::Wait)
      return {Running_[Decision.Attempt_], {}};
    return {nullptr, Decision.Reply_};
  }

  /// Calls the upstream, even when the connection of the request is closed,
  /// since the caller may query the answer by key.
  void callUpstream(const model::RequestFrame &Frame, std::uint16_t Port,
                    Completion &Running) {
    net::HttpRequest Request;
    Request.Method_ = Frame.Method_;
    Request.Path_ = Frame.Path_;
    Request.Query_ = Frame.Query_;
    Request.Headers_ = {{"X-Client-Account", Frame.Account_}};
    if (!Frame.ContentType_.empty())
      Request.Headers_.emplace_back("Content-Type", Frame.ContentType_);
    if (!Frame.Key_.empty())
      Request.Headers_.emplace_back("Idempotency-Key", Frame.Key_);
    Request.Body_ = Frame.Body_;
    const model::Frame FinalFrame =
        toFinalFrame(Frame.Attempt_,
                     Ports_.Call_({Loopback, Port}, Request, Frame.Timeout_));
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      finishAttempt(Table_, Frame.Attempt_, FinalFrame, now());
      Running_.erase(Frame.Attempt_);
    }
    Running.complete(FinalFrame);
    AttemptEnded_.notify_all();
  }

  /// Sends the outcome of an attempt, and a WorkingFrame at intervals until
  /// then. Returns false when the connection fails.
  bool sendOutcome(net::FrameConnection &Connection,
                   const core::AttemptId &Attempt,
                   const PendingReply &Pending) {
    std::optional<model::Frame> FinalFrame = Pending.Reply_;
    if (Pending.Running_) {
      const std::string WorkingBytes =
          wire::encode(model::Frame(model::WorkingFrame{Attempt}));
      while (
          !(FinalFrame = Pending.Running_->waitFor(Settings_.WorkingInterval_)))
        if (!Connection.send(WorkingBytes).ok())
          return false;
    }
    const std::string Bytes = wire::encode(addressedTo(*FinalFrame, Attempt));
    if (Bytes.size() > Settings_.Frames_.MaxFrame_)
      return Connection
          .send(wire::encode(model::Frame(
              model::OutcomeUnknownFrame{Attempt, "answer_too_large"})))
          .ok();
    return Connection.send(Bytes).ok();
  }

  net::HttpResponse handleAnnouncement(const net::HttpRequest &Request) {
    if (Request.Path_ != "/announce")
      return {404, "application/json", "{}"};
    UpstreamStatus Before = upstreamStatus();
    if (Request.Method_ == "DELETE") {
      std::lock_guard<std::mutex> Lock(Mutex_);
      withdrawUpstream(Table_);
    } else {
      auto Parsed = wire::parseJson(Request.Body_);
      std::int64_t Port = 0;
      std::int64_t Slots = 0;
      if (!Parsed.ok())
        return badAnnouncement("the body is not valid JSON");
      const std::string Service = wire::textMember(*Parsed, "service");
      if (Service.empty() ||
          !wire::numberMember(*Parsed, "port", 1, MaxPort, Port) ||
          !wire::numberMember(*Parsed, "slots", 1, UINT32_MAX, Slots) ||
          Port == 0 || Slots == 0)
        return badAnnouncement(
            "service, port and slots are missing or out of range");
      std::lock_guard<std::mutex> Lock(Mutex_);
      announceUpstream(
          Table_, Service, static_cast<std::uint16_t>(Port),
          std::min(static_cast<std::uint32_t>(Slots), Settings_.MaxSlots_),
          now() + Settings_.AnnounceValid_);
    }
    const UpstreamStatus After = upstreamStatus();
    if (Ports_.Changed_ &&
        std::tie(Before.Announced_, Before.Service_, Before.Port_,
                 Before.Slots_, Before.Leaving_) !=
            std::tie(After.Announced_, After.Service_, After.Port_,
                     After.Slots_, After.Leaving_))
      Ports_.Changed_(After);
    return {200, "application/json", "{}"};
  }

  UpstreamStatus upstreamStatus() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return currentUpstream(Table_, now());
  }

  void leave() {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Table_.Leaving_ = true;
    }
    if (Ports_.Changed_)
      Ports_.Changed_(upstreamStatus());
  }

  std::uint32_t waitIdle(core::Duration Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    AttemptEnded_.wait_for(Lock, Timeout, [this] { return Running_.empty(); });
    return static_cast<std::uint32_t>(Running_.size());
  }

  void stop() {
    leave();
    FrameServer_.stop();
    AnnouncementServer_.stop();
    // Attempts whose connection is closed are still running.
    std::unique_lock<std::mutex> Lock(Mutex_);
    AttemptEnded_.wait(Lock, [this] { return Running_.empty(); });
  }

  const RequestServerSettings Settings_;
  const RequestServerPorts Ports_;
  mutable std::mutex Mutex_;
  std::condition_variable AttemptEnded_;
  AttemptTable Table_;
  std::map<core::AttemptId, std::shared_ptr<Completion>> Running_;
  CallPool UpstreamCalls_;
  net::FrameServer FrameServer_;
  net::HttpServer AnnouncementServer_;
};

RequestServer::RequestServer(const RequestServerSettings &Settings,
                             RequestServerPorts Ports)
    : Impl_(std::make_unique<Impl>(Settings, std::move(Ports))) {}

RequestServer::~RequestServer() { stop(); }

UpstreamStatus RequestServer::upstream() const {
  return Impl_->upstreamStatus();
}

net::FrameCounts RequestServer::counts() const {
  return Impl_->FrameServer_.counts();
}

void RequestServer::leave() { Impl_->leave(); }

std::uint32_t RequestServer::waitIdle(core::Duration Timeout) {
  return Impl_->waitIdle(Timeout);
}

void RequestServer::stop() { Impl_->stop(); }

} // namespace nutmegwell::agent
