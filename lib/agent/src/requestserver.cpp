#include "nutmegwell/agent/requestserver.h"

#include "callpool.h"
#include "nutmegwell/wire/binary.h"
#include "nutmegwell/wire/json.h"
#include <condition_variable>
#include <mutex>

namespace nutmegwell::agent {

namespace {

/// Connections of the announcement listener; only this host uses it.
constexpr unsigned AnnounceThreads = 8;
constexpr std::size_t MaxAnnouncement = 4096;
constexpr std::int64_t MaxPort = 65535;
constexpr char Loopback[] = "127.0.0.1";

/// The end of a running attempt, for the connections that wait for it.
struct Completion {
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<model::Frame> End_;

  void set(model::Frame End) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      End_ = std::move(End);
    }
    Changed_.notify_all();
  }

  std::optional<model::Frame> waitFor(core::Duration Limit) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_for(Lock, Limit, [this] { return End_.has_value(); });
    return End_;
  }
};

/// Returns the frame that ends \p Attempt after a call of the upstream.
model::Frame toEnd(const core::AttemptId &Attempt,
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
  RequestServerPorts Hooks;
  Hooks.Call_ = [](const net::Address &Upstream,
                   const net::HttpRequest &Request, core::Duration Timeout) {
    return net::HttpClient(Upstream).call(Request, Timeout);
  };
  return Hooks;
}

struct RequestServer::Impl {
  Impl(const RequestServerSettings &Settings, RequestServerPorts Hooks)
      : Settings_(Settings), Hooks_(std::move(Hooks)),
        Table_(emptyTable(Settings)), Calls_(Settings.MaxSlots_),
        Frames_(
            Settings.Listen_, Settings.Frames_,
            [this](net::FrameConnection &Connection, const std::string &Bytes) {
              return handle(Connection, Bytes);
            },
            [this] {
              if (Hooks_.Stopping_)
                Hooks_.Stopping_(status().InFlight_);
            }),
        Announcements_(Settings.Announce_, announceLimits(),
                       [this](const net::HttpRequest &Request) {
                         return handleAnnouncement(Request);
                       }) {}

  static AttemptTable emptyTable(const RequestServerSettings &Settings) {
    AttemptTable Table;
    Table.Incarnation_ = Settings.Incarnation_;
    Table.Bounds_ = Settings.Attempts_;
    return Table;
  }

  static net::HttpLimits announceLimits() {
    net::HttpLimits Limits;
    Limits.MaxBody_ = MaxAnnouncement;
    Limits.MaxThreads_ = AnnounceThreads;
    return Limits;
  }

  core::TimePoint now() const { return Hooks_.Clock_.Now_(); }

  /// Handles one frame. Returns false to close the connection.
  bool handle(net::FrameConnection &Connection, const std::string &Bytes) {
    auto Frame = wire::decodeFrame(Bytes);
    if (!Frame.ok())
      return false;
    if (auto *Request = std::get_if<model::RequestFrame>(&*Frame))
      return answer(Connection, Request->Attempt_, start(std::move(*Request)));
    if (const auto *Query = std::get_if<model::KeyQueryFrame>(&*Frame))
      return answer(Connection, Query->Attempt_, find(*Query));
    return false;
  }

  /// What a connection waits for: a running attempt, or a frame at once.
  struct Pending {
    std::shared_ptr<Completion> Running_;
    model::Frame Reply_;
  };

  Pending start(model::RequestFrame Frame) {
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
    Calls_.run([this, Running, Port = Decision.Port_,
                Shared = std::make_shared<model::RequestFrame>(
                    std::move(Frame))] { call(*Shared, Port, *Running); });
    return {Running, {}};
  }

  Pending find(const model::KeyQueryFrame &Frame) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    AttemptDecision Decision = decideKeyQuery(Table_, Frame, now());
    if (Decision.Kind_ == AttemptDecision::Kind::Wait)
      return {Running_[Decision.Attempt_], {}};
    return {nullptr, Decision.Reply_};
  }

  /// Calls the upstream, even when the connection has gone: the caller may ask
  /// for the answer by key.
  void call(const model::RequestFrame &Frame, std::uint16_t Port,
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
    const model::Frame End =
        toEnd(Frame.Attempt_,
              Hooks_.Call_({Loopback, Port}, Request, Frame.Timeout_));
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      finishAttempt(Table_, Frame.Attempt_, End, now());
      Running_.erase(Frame.Attempt_);
    }
    Running.set(End);
    Idle_.notify_all();
  }

  /// Sends the end of an attempt, and says that it is running until then.
  bool answer(net::FrameConnection &Connection, const core::AttemptId &Attempt,
              const Pending &Waiting) {
    std::optional<model::Frame> End = Waiting.Reply_;
    if (Waiting.Running_) {
      const std::string Working =
          wire::encode(model::Frame(model::WorkingFrame{Attempt}));
      while (!(End = Waiting.Running_->waitFor(Settings_.WorkingInterval_)))
        if (!Connection.send(Working).ok())
          return false;
    }
    const std::string Bytes = wire::encode(addressedTo(*End, Attempt));
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
    UpstreamStatus Before = status();
    if (Request.Method_ == "DELETE") {
      std::lock_guard<std::mutex> Lock(Mutex_);
      withdrawUpstream(Table_);
    } else {
      auto Parsed = wire::parseJson(Request.Body_);
      std::int64_t Port = 0;
      std::int64_t Slots = 0;
      if (!Parsed.ok())
        return badAnnouncement("the body is not JSON");
      const std::string Service = wire::textMember(*Parsed, "service");
      if (Service.empty() ||
          !wire::numberMember(*Parsed, "port", 1, MaxPort, Port) ||
          !wire::numberMember(*Parsed, "slots", 1, UINT32_MAX, Slots) ||
          Port == 0 || Slots == 0)
        return badAnnouncement("service, port and slots are required");
      std::lock_guard<std::mutex> Lock(Mutex_);
      announceUpstream(
          Table_, Service, static_cast<std::uint16_t>(Port),
          std::min(static_cast<std::uint32_t>(Slots), Settings_.MaxSlots_),
          now() + Settings_.AnnounceValid_);
    }
    const UpstreamStatus After = status();
    if (Hooks_.Changed_ &&
        std::tie(Before.Announced_, Before.Service_, Before.Port_,
                 Before.Slots_, Before.Leaving_) !=
            std::tie(After.Announced_, After.Service_, After.Port_,
                     After.Slots_, After.Leaving_))
      Hooks_.Changed_(After);
    return {200, "application/json", "{}"};
  }

  UpstreamStatus status() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return upstreamAt(Table_, now());
  }

  void leave() {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Table_.Leaving_ = true;
    }
    if (Hooks_.Changed_)
      Hooks_.Changed_(status());
  }

  std::uint32_t waitIdle(core::Duration Limit) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Idle_.wait_for(Lock, Limit, [this] { return Running_.empty(); });
    return static_cast<std::uint32_t>(Running_.size());
  }

  void stop() {
    leave();
    Frames_.stop();
    Announcements_.stop();
    // Attempts whose connection has gone still run to their end.
    std::unique_lock<std::mutex> Lock(Mutex_);
    Idle_.wait(Lock, [this] { return Running_.empty(); });
  }

  const RequestServerSettings Settings_;
  const RequestServerPorts Hooks_;
  mutable std::mutex Mutex_;
  std::condition_variable Idle_;
  AttemptTable Table_;
  std::map<core::AttemptId, std::shared_ptr<Completion>> Running_;
  CallPool Calls_;
  net::FrameServer Frames_;
  net::HttpServer Announcements_;
};

RequestServer::RequestServer(const RequestServerSettings &Settings,
                             RequestServerPorts Hooks)
    : Impl_(std::make_unique<Impl>(Settings, std::move(Hooks))) {}

RequestServer::~RequestServer() { stop(); }

UpstreamStatus RequestServer::upstream() const { return Impl_->status(); }

net::FrameCounts RequestServer::counts() const {
  return Impl_->Frames_.counts();
}

void RequestServer::leave() { Impl_->leave(); }

std::uint32_t RequestServer::waitIdle(core::Duration Limit) {
  return Impl_->waitIdle(Limit);
}

void RequestServer::stop() { Impl_->stop(); }

} // namespace nutmegwell::agent
