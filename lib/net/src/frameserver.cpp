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

constexpr int Backlog = 128;
/// A connection idle for this long is closed, so that a peer that vanished does
/// not hold a thread for good.
constexpr core::Duration IdleWait = std::chrono::hours(1);

} // namespace

struct FrameServer::Impl {
  struct Session {
    std::thread Thread_;
    bool Ended_ = false;
  };

  Impl(const Address &Listen, const FrameLimits &Limits, FrameHandler Handler,
       std::function<void()> Stopping)
      : Limits_(Limits), Handler_(std::move(Handler)),
        Stopping_(std::move(Stopping)), Wake_(eventfd(0, EFD_CLOEXEC)) {
    if (Wake_ < 0)
      throw std::runtime_error("no event descriptor");
    try {
      Server_.listen(Listen.Ip_, Listen.Port_, Backlog);
    } catch (const std::exception &Error) {
      close(Wake_);
      throw std::runtime_error("cannot bind TCP " + toString(Listen) + ": " +
                               Error.what());
    }
    Acceptor_ = std::thread([this] { acceptLoop(); });
  }

  ~Impl() {
    stop();
    close(Wake_);
  }

  void stop() {
    if (!Acceptor_.joinable())
      return;
    std::uint64_t One = 1;
    if (write(Wake_, &One, sizeof(One)) != sizeof(One))
      std::terminate();
    Server_.terminateAccept();
    Acceptor_.join();
    Server_.close();
    if (Stopping_)
      Stopping_();
    for (Session &Each : Sessions_)
      Each.Thread_.join();
    Sessions_.clear();
  }

  void acceptLoop() {
    while (true) {
      auto Made = std::make_unique<FrameConnection::Impl>(Limits_);
      try {
        Made->Socket_.accept(Server_);
        Made->Peer_ = Made->Socket_.getPeerAddr();
      } catch (const cxxtools::net::AcceptTerminated &) {
        return;
      } catch (const std::exception &) {
        // The peer went away between connect and accept.
        continue;
      }
      addSession(std::move(Made));
    }
  }

  void addSession(std::unique_ptr<FrameConnection::Impl> Made) {
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
        Session &Added = Sessions_.emplace_back();
        Added.Thread_ = std::thread([this, &Added,
                                     Shared = std::make_shared<FrameConnection>(
                                         std::move(Made))]() mutable {
          run(*Shared);
          Shared.reset();
          std::lock_guard<std::mutex> Done(Mutex_);
          Added.Ended_ = true;
        });
      }
    }
    for (Session &Each : Ended)
      Each.Thread_.join();
  }

  void run(FrameConnection &Connection) {
    if (!FrameServer::greet(Connection))
      return;
    const int Socket = FrameServer::descriptor(Connection);
    while (waitReadable(Socket, Wake_, core::steadyClock().Now_() + IdleWait))
      if (!handleFrame(Connection))
        return;
    if (!FrameServer::noticeClosing(Connection))
      return;
    const core::TimePoint End =
        core::steadyClock().Now_() + Limits_.CloseGrace_;
    while (waitReadable(Socket, -1, End))
      if (!handleFrame(Connection))
        return;
  }

  /// Handles the frame that has started to arrive. Returns false when the
  /// connection is of no more use.
  bool handleFrame(FrameConnection &Connection) {
    auto Frame = Connection.receive(core::Duration::zero());
    if (Frame.ok())
      return Handler_(Connection, std::move(*Frame));
    if (!absl::IsUnavailable(Frame.status())) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      ++Counts_.Broken_;
    }
    return false;
  }

  const FrameLimits Limits_;
  const FrameHandler Handler_;
  const std::function<void()> Stopping_;
  const int Wake_;
  cxxtools::net::TcpServer Server_;
  std::thread Acceptor_;
  mutable std::mutex Mutex_;
  std::list<Session> Sessions_;
  FrameCounts Counts_;
};

FrameServer::FrameServer(const Address &Listen, const FrameLimits &Limits,
                         FrameHandler Handler, std::function<void()> Stopping)
    : Impl_(std::make_unique<Impl>(Listen, Limits, std::move(Handler),
                                   std::move(Stopping))) {}

FrameServer::~FrameServer() = default;

FrameCounts FrameServer::counts() const {
  std::lock_guard<std::mutex> Lock(Impl_->Mutex_);
  return Impl_->Counts_;
}

void FrameServer::stop() { Impl_->stop(); }

bool FrameServer::greet(FrameConnection &Connection) {
  return Connection.Impl_->greet().ok();
}

bool FrameServer::noticeClosing(FrameConnection &Connection) {
  return Connection.Impl_->noticeClosing().ok();
}

int FrameServer::descriptor(const FrameConnection &Connection) {
  return Connection.Impl_->Socket_.getFd();
}

} // namespace nutmegwell::net
