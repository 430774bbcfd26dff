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
  struct Pair;

  explicit Impl(const nutmegwell::net::Address &Server)
      : Server_(asio::ip::make_address_v4(Server.Ip_), Server.Port_),
        Acceptor_(Context_,
                  Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  void accept();

  asio::io_context Context_{1};
  Tcp::endpoint Server_;
  Tcp::acceptor Acceptor_;
  ProxyMode Mode_ = ProxyMode::Pass;
  std::set<std::shared_ptr<Pair>> Open_;
};

/// A client's connection and the one to the server.
struct TcpProxy::Impl::Pair
    : std::enable_shared_from_this<TcpProxy::Impl::Pair> {
  Pair(std::shared_ptr<Impl> Owner, Tcp::socket Client)
      : Owner_(std::move(Owner)), Client_(std::move(Client)),
        Server_(Owner_->Context_), Timer_(Owner_->Context_) {}

  void begin() {
    Server_.async_connect(Owner_->Server_, [Self = shared_from_this()](
                                               const Error &Failure) {
      if (Failure)
        return Self->close();
      Self->pump(Self->Client_, Self->Server_, Self->Forward_,
                 ProxyMode::CutForward);
      Self->pump(Self->Server_, Self->Client_, Self->Back_, ProxyMode::CutBack);
    });
  }

  using Buffer = std::array<char, 16384>;

  void pump(Tcp::socket &From, Tcp::socket &To, Buffer &Bytes, ProxyMode Cut) {
    From.async_read_some(
        asio::buffer(Bytes), [Self = shared_from_this(), &From, &To, &Bytes,
                              Cut](const Error &Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          const ProxyMode Mode = Self->Owner_->Mode_;
          if (Self->Silent_ || Mode == Cut)
            return Self->pump(From, To, Bytes, Cut);
          if (Mode != ProxyMode::Delay)
            return Self->pass(From, To, Bytes, Cut, Size);
          auto Later = std::make_shared<asio::steady_timer>(
              Self->Owner_->Context_, std::chrono::milliseconds(100));
          Later->async_wait(
              [Self, Later, &From, &To, &Bytes, Cut, Size](const Error &) {
                Self->pass(From, To, Bytes, Cut, Size);
              });
        });
  }

  void pass(Tcp::socket &From, Tcp::socket &To, Buffer &Bytes, ProxyMode Cut,
            std::size_t Size) {
    asio::async_write(To, asio::buffer(Bytes, Size),
                      [Self = shared_from_this(), &From, &To, &Bytes,
                       Cut](const Error &Failure, std::size_t) {
                        if (Failure)
                          return Self->close();
                        Self->pump(From, To, Bytes, Cut);
                      });
  }

  void close(bool Reset = false) {
    Error Ignored; // Either side may have closed already.
    if (Reset) {
      Client_.set_option(asio::socket_base::linger(true, 0), Ignored);
      Server_.set_option(asio::socket_base::linger(true, 0), Ignored);
    }
    Client_.close(Ignored);
    Server_.close(Ignored);
    Owner_->Open_.erase(shared_from_this());
  }

  std::shared_ptr<Impl> Owner_;
  Tcp::socket Client_;
  Tcp::socket Server_;
  asio::steady_timer Timer_;
  Buffer Forward_{};
  Buffer Back_{};
  bool Silent_ = false;
};

void TcpProxy::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure)
          return;
        auto New = std::make_shared<Pair>(Self, std::move(Socket));
        Self->Open_.insert(New);
        New->begin();
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
  Impl_->Open_.clear();
}

void TcpProxy::setMode(ProxyMode Mode) {
  asio::post(Impl_->Context_, [Shared = Impl_, Mode] {
    const auto Open = Shared->Open_;
    for (const auto &Each : Open) {
      if (Mode == ProxyMode::Silence)
        Each->Silent_ = true;
      if (Mode == ProxyMode::Reset)
        Each->close(true);
    }
    const bool Once = Mode == ProxyMode::Silence || Mode == ProxyMode::Reset;
    Shared->Mode_ = Once ? ProxyMode::Pass : Mode;
  });
}

} // namespace soak
