#include "tcpproxy.h"
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace soak {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

} // namespace

struct TcpProxy::Impl : std::enable_shared_from_this<TcpProxy::Impl> {
  struct Connection;

  explicit Impl(const nutmegwell::net::Address &Server)
      : Server_(asio::ip::make_address_v4(Server.Ip_), Server.Port_),
        Acceptor_(Context_,
                  Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  void accept();

  asio::io_context Context_{1};
  Tcp::endpoint Server_;
  Tcp::acceptor Acceptor_;
  ProxyMode Mode_ = ProxyMode::PassThrough;
  std::set<std::shared_ptr<Connection>> Connections_;
};

/// A client's connection and its counterpart to the server.
struct TcpProxy::Impl::Connection
    : std::enable_shared_from_this<TcpProxy::Impl::Connection> {
  Connection(std::shared_ptr<Impl> Owner, Tcp::socket Client)
      : Owner_(std::move(Owner)), Client_(std::move(Client)),
        Server_(Owner_->Context_), Timer_(Owner_->Context_) {}

  void connect() {
    Server_.async_connect(
        Owner_->Server_, [Self = shared_from_this()](const Error &Failure) {
          if (Failure)
            return Self->close();
          Self->relay(Self->Client_, Self->Server_, Self->Forward_,
                      ProxyMode::DropToServer);
          Self->relay(Self->Server_, Self->Client_, Self->Back_,
                      ProxyMode::DropToClient);
        });
  }

  using Buffer = std::array<char, 16384>;

  void relay(Tcp::socket &From, Tcp::socket &To, Buffer &Bytes,
             ProxyMode DropMode) {
    From.async_read_some(
        asio::buffer(Bytes),
        [Self = shared_from_this(), &From, &To, &Bytes,
         DropMode](const Error &Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          const ProxyMode Mode = Self->Owner_->Mode_;
          if (Self->Stalled_ || Mode == DropMode)
            return Self->relay(From, To, Bytes, DropMode);
          if (Mode != ProxyMode::Delay)
            return Self->forward(From, To, Bytes, DropMode, Size);
          auto DelayTimer = std::make_shared<asio::steady_timer>(
              Self->Owner_->Context_, std::chrono::milliseconds(100));
          DelayTimer->async_wait([Self, DelayTimer, &From, &To, &Bytes,
                                  DropMode, Size](const Error &) {
            Self->forward(From, To, Bytes, DropMode, Size);
          });
        });
  }

  void forward(Tcp::socket &From, Tcp::socket &To, Buffer &Bytes,
               ProxyMode DropMode, std::size_t Size) {
    asio::async_write(To, asio::buffer(Bytes, Size),
                      [Self = shared_from_this(), &From, &To, &Bytes,
                       DropMode](const Error &Failure, std::size_t) {
                        if (Failure)
                          return Self->close();
                        Self->relay(From, To, Bytes, DropMode);
                      });
  }

  void close(bool WithReset = false) {
    Error Ignored; // Either side may have closed already.
    if (WithReset) {
      Client_.set_option(asio::socket_base::linger(true, 0), Ignored);
      Server_.set_option(asio::socket_base::linger(true, 0), Ignored);
    }
    Client_.close(Ignored);
    Server_.close(Ignored);
    Owner_->Connections_.erase(shared_from_this());
  }

  std::shared_ptr<Impl> Owner_;
  Tcp::socket Client_;
  Tcp::socket Server_;
  asio::steady_timer Timer_;
  Buffer Forward_{};
  Buffer Back_{};
  bool Stalled_ = false;
};

void TcpProxy::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure)
          return;
        auto Accepted = std::make_shared<Connection>(Self, std::move(Socket));
        Self->Connections_.insert(Accepted);
        Accepted->connect();
        Self->accept();
      });
}

TcpProxy::TcpProxy(const nutmegwell::net::Address &Server)
    : Impl_(std::make_shared<Impl>(Server)),
      Port_(Impl_->Acceptor_.local_endpoint().port()) {
  Impl_->accept();
  Thread_ = std::thread([Shared = Impl_] {
    auto Guard = asio::make_work_guard(Shared->Context_);
    Shared->Context_.run();
  });
}

TcpProxy::~TcpProxy() {
  Impl_->Context_.stop();
  Thread_.join();
  Impl_->Connections_.clear();
}

void TcpProxy::setMode(ProxyMode Mode) {
  asio::post(Impl_->Context_, [Shared = Impl_, Mode] {
    const auto Connections = Shared->Connections_;
    for (const auto &Current : Connections) {
      if (Mode == ProxyMode::StallOpen)
        Current->Stalled_ = true;
      if (Mode == ProxyMode::ResetOpen)
        Current->close(true);
    }
    const bool ActsOnce =
        Mode == ProxyMode::StallOpen || Mode == ProxyMode::ResetOpen;
    Shared->Mode_ = ActsOnce ? ProxyMode::PassThrough : Mode;
  });
}

} // namespace soak
