#include "frameio.h"
#include <cxxtools/net/tcpserver.h>
#include <list>
#include <mutex>
#include <stdexcept>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace nutmegwell::net {

namespace {

constexpr int ListenBacklog = 128;
/// Connections idle for this long are closed, so that a peer that disappeared
/// without closing its connection does not occupy a thread forever.
constexpr core::Duration IdleTimeout = std::chrono::hours(1);

} // namespace

struct FrameServer::Impl {
  struct Session {
    std::thread Thread_;
    bool Ended_ = false;
  };

  Impl(const Address &Listen, const FrameLimits &Limits, FrameHandler Handler,
       std::function<void()> OnStop)
      : Limits_(Limits), Handler_(std::move(Handler)),
        OnStop_(std::move(OnStop)), StopEvent_(eventfd(0, EFD_CLOEXEC)) {
    if (StopEvent_ < 0)
      throw std::runtime_error("cannot create an eventfd for the frame server");
    try {
      Server_.listen(Listen.Ip_, Listen.Port_, ListenBacklog);
    } catch (const std::exception &Error) {
      close(StopEvent_);
      throw std::runtime_error("cannot bind TCP " + toString(Listen) + ": " +
                               Error.what());
    }
    Acceptor_ = std::thread([this] { acceptLoop(); });
  }

  ~Impl() {
    stop();
    close(StopEvent_);
  }

  void stop() {
    if (!Acceptor_.joinable())
      return;
    std::uint64_t One = 1;
    if (write(StopEvent_, &One, sizeof(One)) != sizeof(One))
      std::terminate();
    Server_.terminateAccept();
    Acceptor_.join();
    Server_.close();
    if (OnStop_)
      OnStop_();
    for (Session &Each : Sessions_)
      Each.Thread_.join();
    Sessions_.clear();
  }

  void acceptLoop() {
    while (true) {
      auto Connection = std::make_unique<FrameConnection::Impl>(Limits_);
      try {
        Connection->Socket_.accept(Server_);
        Connection->Peer_ = Connection->Socket_.getPeerAddr();
      } catch (const cxxtools::net::AcceptTerminated &) {
        return;
      } catch (const std::exception &) {
        // The peer closed the connection before it was accepted.
        continue;
      }
      addSession(std::move(Connection));
    }
  }

  void addSession(std::unique_ptr<FrameConnection::Impl> Connection) {
    std::list<Session> Ended;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      for (auto I = Sessions_.begin(); I != Sessions_.end();) {
        auto Next = std::next(I);
        if (I->Ended_)
          Ended.splice(Ended.end(), Sessions_, I);
        I = Next;
      }
      if (Sessions_.size() >= Limits_.MaxConnections_) {
        ++Counts_.Refused_;
      } else {
        ++Counts_.Accepted_;
        Session &NewSession = Sessions_.emplace_back();
        NewSession.Thread_ =
            std::thread([this, &NewSession,
                         Shared = std::make_shared<FrameConnection>(
                             std::move(Connection))]() mutable {
              run(*Shared);
              Shared.reset();
              std::lock_guard<std::mutex> Done(Mutex_);
              NewSession.Ended_ = true;
            });
      }
    }
    for (Session &Each : Ended)
      Each.Thread_.join();
  }

  void run(FrameConnection &Connection) {
    if (!FrameServer::sendGreeting(Connection))
      return;
    const int Socket = FrameServer::socketDescriptor(Connection);
    while (waitReadable(Socket, StopEvent_,
                        core::steadyClock().Now_() + IdleTimeout))
      if (!handleFrame(Connection))
        return;
    if (!FrameServer::sendClosingNotice(Connection))
      return;
    const core::TimePoint GraceEnd =
        core::steadyClock().Now_() + Limits_.CloseGrace_;
    while (waitReadable(Socket, -1, GraceEnd))
      if (!handleFrame(Connection))
        return;
  }

  /// Receives and handles a frame that has started to arrive. Returns false if
  /// the connection must be closed.
  bool handleFrame(FrameConnection &Connection) {
    auto Frame = Connection.receive(core::Duration::zero());
    if (Frame.ok())
      return Handler_(Connection, std::move(*Frame));
    if (!absl::IsUnavailable(Frame.status())) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      ++Counts_.InvalidFrames_;
    }
    return false;
  }

  const FrameLimits Limits_;
  const FrameHandler Handler_;
  const std::function<void()> OnStop_;
  const int StopEvent_;
  cxxtools::net::TcpServer Server_;
  std::thread Acceptor_;
  mutable std::mutex Mutex_;
  std::list<Session> Sessions_;
  FrameCounts Counts_;
};

FrameServer::FrameServer(const Address &Listen, const FrameLimits &Limits,
                         FrameHandler Handler, std::function<void()> OnStop)
    : Impl_(std::make_unique<Impl>(Listen, Limits, std::move(Handler),
                                   std::move(OnStop))) {}

FrameServer::~FrameServer() = default;

FrameCounts FrameServer::counts() const {
  std::lock_guard<std::mutex> Lock(Impl_->Mutex_);
  return Impl_->Counts_;
}

void FrameServer::stop() { Impl_->stop(); }

bool FrameServer::sendGreeting(FrameConnection &Connection) {
  return Connection.Impl_->sendGreeting().ok();
}

bool FrameServer::sendClosingNotice(FrameConnection &Connection) {
  return Connection.Impl_->sendClosingNotice().ok();
}

int FrameServer::socketDescriptor(const FrameConnection &Connection) {
  return Connection.Impl_->Socket_.getFd();
}

} // namespace nutmegwell::net
