#include "nutmegwell/aio/link.h"
#include "loopimpl.h"
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>

namespace nutmegwell::aio {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

/// Bytes of the big-endian length before each frame.
constexpr std::size_t PrefixSize = 4;

std::string withPrefix(const std::string &Frame) {
  const auto Size = static_cast<std::uint32_t>(Frame.size());
  std::string Bytes;
  Bytes.reserve(PrefixSize + Frame.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>(Size >> Shift));
  return Bytes + Frame;
}

} // namespace

struct Links::Impl : std::enable_shared_from_this<Links::Impl> {
  struct Connection;

  Impl(Loop &Owner, const LinkLimits &Bounds, LinkHandlers Functions)
      : Context_(Owner.impl().Context_), Acceptor_(Context_), Limits_(Bounds),
        Handlers_(std::move(Functions)) {}

  void accept();
  std::shared_ptr<Connection> add(Tcp::socket Socket);

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  LinkLimits Limits_;
  LinkHandlers Handlers_;
  LinkId Next_ = 1;
  std::map<LinkId, std::shared_ptr<Connection>> Open_;
};

struct Links::Impl::Connection
    : std::enable_shared_from_this<Links::Impl::Connection> {
  Connection(std::shared_ptr<Impl> Owner, LinkId Number, Tcp::socket Stream)
      : Owner_(std::move(Owner)), Id_(Number), Socket_(std::move(Stream)),
        Timer_(Owner_->Context_) {}

  void dial(const net::Address &Peer) {
    watch(Owner_->Limits_.ConnectTimeout_);
    Socket_.async_connect(endpointOf(Peer),
                          [Self = shared_from_this()](const Error &Failure) {
                            if (Failure)
                              return Self->close();
                            Self->begin();
                          });
  }

  void begin() {
    if (Closed_)
      return;
    Connected_ = true;
    Error Ignored; // Only slower without the option.
    Socket_.set_option(Tcp::no_delay(true), Ignored);
    watch(Owner_->Limits_.Silence_);
    Owner_->Handlers_.Opened_(Id_);
    readPrefix();
    write();
  }

  void readPrefix() {
    asio::async_read(
        Socket_, asio::buffer(Prefix_),
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->close();
          Self->readFrame();
        });
  }

  void readFrame() {
    std::size_t Size = 0;
    for (unsigned char Byte : Prefix_)
      Size = Size << 8 | Byte;
    if (Size > Owner_->Limits_.MaxFrame_)
      return close();
    Frame_.resize(Size);
    asio::async_read(
        Socket_, asio::buffer(Frame_.data(), Size),
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->close();
          if (Self->Closed_)
            return;
          Self->watch(Self->Owner_->Limits_.Silence_);
          std::string Frame;
          Frame.swap(Self->Frame_);
          Self->Owner_->Handlers_.Received_(Self->Id_, std::move(Frame));
          if (!Self->Closed_)
            Self->readPrefix();
        });
  }

  void send(const std::string &Frame) {
    QueuedBytes_ += Frame.size() + PrefixSize;
    if (QueuedBytes_ > Owner_->Limits_.MaxQueued_)
      return close();
    Queue_.push_back(withPrefix(Frame));
    write();
  }

  void write() {
    if (Writing_ || !Connected_ || Closed_ || Queue_.empty())
      return;
    Writing_ = true;
    asio::async_write(
        Socket_, asio::buffer(Queue_.front()),
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          Self->Writing_ = false;
          if (Failure)
            return Self->close();
          Self->QueuedBytes_ -= Self->Queue_.front().size();
          Self->Queue_.pop_front();
          Self->write();
        });
  }

  void watch(core::Duration Limit) {
    Timer_.expires_after(Limit);
    Timer_.async_wait([Self = shared_from_this()](const Error &Failure) {
      if (!Failure)
        Self->close();
    });
  }

  void close() {
    if (Closed_)
      return;
    endQuietly();
    Owner_->Open_.erase(Id_);
    Owner_->Handlers_.Closed_(Id_);
  }

  /// Ends the link without telling its owner.
  void endQuietly() {
    Closed_ = true;
    Error Ignored; // The socket is of no more use either way.
    Socket_.close(Ignored);
    Timer_.cancel();
  }

  std::shared_ptr<Impl> Owner_;
  LinkId Id_;
  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  std::array<unsigned char, PrefixSize> Prefix_{};
  std::string Frame_;
  std::deque<std::string> Queue_;
  std::size_t QueuedBytes_ = 0;
  bool Connected_ = false;
  bool Writing_ = false;
  bool Closed_ = false;
};

std::shared_ptr<Links::Impl::Connection> Links::Impl::add(Tcp::socket Socket) {
  const LinkId Id = Next_++;
  auto Added =
      std::make_shared<Connection>(shared_from_this(), Id, std::move(Socket));
  Open_[Id] = Added;
  return Added;
}

void Links::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure)
          Self->add(std::move(Socket))->begin();
        Self->accept();
      });
}

Links::Links(Loop &Owner, const LinkLimits &Limits, LinkHandlers Handlers)
    : Impl_(std::make_shared<Impl>(Owner, Limits, std::move(Handlers))) {}

Links::~Links() {
  Error Ignored; // The process is ending.
  Impl_->Acceptor_.close(Ignored);
  for (const auto &[Id, Link] : Impl_->Open_)
    Link->endQuietly();
  Impl_->Open_.clear();
}

std::uint16_t Links::listen(const net::Address &Listen) {
  const Tcp::endpoint Endpoint = endpointOf(Listen);
  Impl_->Acceptor_.open(Endpoint.protocol());
  Impl_->Acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  Impl_->Acceptor_.bind(Endpoint);
  Impl_->Acceptor_.listen();
  Impl_->accept();
  return Impl_->Acceptor_.local_endpoint().port();
}

LinkId Links::dial(const net::Address &Peer) {
  auto Added = Impl_->add(Tcp::socket(Impl_->Context_));
  Added->dial(Peer);
  return Added->Id_;
}

void Links::send(LinkId Id, std::string Frame) {
  auto It = Impl_->Open_.find(Id);
  if (It != Impl_->Open_.end())
    It->second->send(Frame);
}

void Links::close(LinkId Id) {
  auto It = Impl_->Open_.find(Id);
  if (It != Impl_->Open_.end()) {
    auto Kept = It->second;
    Kept->close();
  }
}

} // namespace nutmegwell::aio
