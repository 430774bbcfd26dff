#include "nutmegwell/aio/httpserver.h"
#include "loopimpl.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <optional>

namespace nutmegwell::aio {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

net::HttpRequest fromBeast(http::request<http::string_body> &&Message) {
  net::HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  const std::string Target(Message.target());
  const std::size_t QueryStart = Target.find('?');
  Request.Path_ = Target.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.Query_ = Target.substr(QueryStart + 1);
  for (const auto &Field : Message)
    Request.Headers_.emplace_back(std::string(Field.name_string()),
                                  std::string(Field.value()));
  Request.Body_ = std::move(Message.body());
  return Request;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(Loop &Owner, const ServerLimits &Bounds, RequestHandler Function,
       std::shared_ptr<InputGuard> Shared)
      : Context_(Owner.impl().Context_), Acceptor_(Context_),
        RetryTimer_(Context_), Limits_(Bounds), Handler_(std::move(Function)),
        Guard_(std::move(Shared)) {
    if (Guard_)
      return;
    InputLimits OwnLimits;
    OwnLimits.MaxConnections_ = Limits_.MaxConnections_;
    Guard_ = std::make_shared<InputGuard>(Owner, OwnLimits);
  }

  void listen(const net::Address &Address) {
    const Tcp::endpoint Endpoint = endpointOf(Address);
    Acceptor_.open(Endpoint.protocol());
    Acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    Acceptor_.bind(Endpoint);
    Acceptor_.listen();
    accept();
  }

  void accept();

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  ServerLimits Limits_;
  RequestHandler Handler_;
  std::shared_ptr<InputGuard> Guard_;
  bool Draining_ = false;
  std::size_t InFlight_ = 0;
};

namespace {

/// One connection. Pending operations and existing responders keep it alive.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server)
      : Stream_(std::move(Socket)), Server_(std::move(Server)) {}

  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session() { Server_->Guard_->disconnect(Id_); }

  void start() {
    Peer_ = peerOf(Stream_.socket());
    Id_ = Server_->Guard_->connect(Peer_, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->abort();
    });
    readNext();
  }

private:
  using Parser = http::request_parser<http::string_body>;

  /// Bytes of a read while a header or a chunked body arrives. Most requests
  /// fit into one read. It also bounds what is buffered of a pipelined request
  /// while the one before it is handled.
  static constexpr std::size_t ReadSize = 2048;
  /// Bytes of a read while a body of known length arrives.
  static constexpr std::size_t BodyReadSize = 16384;
  /// Memory of a stored header field beyond its text: 3,277 fields of 5 bytes
  /// took 265 KB.
  static constexpr std::size_t FieldSize = 80;
  /// How long and how much of a refused request is read and discarded after the
  /// response. Closing a socket with unread input makes the kernel reset the
  /// connection, and the client may lose the response.
  static constexpr core::Duration DiscardTimeout = std::chrono::seconds(1);
  static constexpr std::size_t MaxDiscarded = 524288;

  void readNext() {
    Parser_.emplace();
    Parser_->header_limit(
        static_cast<std::uint32_t>(Server_->Limits_.MaxHeader_));
    Parser_->body_limit(Server_->Limits_.MaxBody_);
    Parser_->eager(true);
    Parser_->on_chunk_header(OnChunkHeader_);
    Consumed_ = Framing_ = 0;
    if (Buffer_.size() > 0) {
      Stream_.expires_after(Server_->Limits_.ReadTimeout_);
      return parse();
    }
    Stream_.expires_after(Server_->Limits_.IdleTimeout_);
    Stream_.async_read_some(
        Buffer_.prepare(ReadSize),
        [Self = shared_from_this()](const Error &Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          Self->Buffer_.commit(Size);
          Self->Stream_.expires_after(Self->Server_->Limits_.ReadTimeout_);
          Self->parse();
        });
  }

  void readMore() {
    const auto Remaining = Parser_->is_header_done()
                               ? Parser_->content_length_remaining()
                               : boost::none;
    const std::size_t Size =
        Remaining ? static_cast<std::size_t>(
                        std::clamp<std::uint64_t>(*Remaining, 1, BodyReadSize))
                  : ReadSize;
    Stream_.async_read_some(
        Buffer_.prepare(Size),
        [Self = shared_from_this()](const Error &Failure, std::size_t Read) {
          if (Failure)
            return Self->onReadFailed(Failure);
          Self->Buffer_.commit(Read);
          Self->parse();
        });
  }

  /// Counts the framing that a chunk needs: the digits of its size, and the
  /// ends of lines after these and after the data.
  void onChunkHeader(std::uint64_t Size) {
    constexpr std::size_t LineEnds = 4;
    std::size_t Digits = 1;
    while (Size >>= 4)
      ++Digits;
    Framing_ += Digits + LineEnds;
  }

  /// Parses what has arrived. The parser limits a header and a body, but
  /// neither extensions and padded sizes of chunks nor trailers. The framing
  /// that chunks need does not count, so that a body may come in chunks of any
  /// size.
  void parse() {
    Error Failure;
    std::size_t Used = 1;
    while (!Failure && Used > 0 && !Parser_->is_done() && Buffer_.size() > 0) {
      Used = Parser_->put(Buffer_.data(), Failure);
      Buffer_.consume(Used);
      Consumed_ += Used;
    }
    if (Failure && Failure != http::error::need_more)
      return onMalformed(Failure);
    const std::size_t Unparsed = Parser_->is_done() ? 0 : Buffer_.size();
    const auto &Message = Parser_->get();
    const std::size_t Needed = Message.body().size() + Framing_;
    const std::size_t Arrived = Consumed_ + Unparsed;
    // The data of a chunk arrives after its header.
    const std::size_t Overhead = Arrived > Needed ? Arrived - Needed : 0;
    if (Overhead > Server_->Limits_.MaxHeader_)
      return reject(InputRefusal::Header);
    if (Parser_->is_done())
      return handle();
    const auto Fields =
        static_cast<std::size_t>(std::distance(Message.begin(), Message.end()));
    Server_->Guard_->input(Id_, Arrived,
                           Buffer_.capacity() + Message.body().capacity() +
                               Overhead + Fields * FieldSize);
    if (!Closed_)
      readMore();
  }

  void onReadFailed(const Error &Failure) {
    if (Failure == beast::error::timeout)
      Server_->Guard_->refused(InputRefusal::Time, Peer_);
    if (Failure == asio::error::eof)
      return reject(InputRefusal::Malformed);
    close();
  }

  void onMalformed(const Error &Failure) {
    if (Failure == http::error::body_limit)
      return reject(InputRefusal::Body);
    if (Failure == http::error::header_limit)
      return reject(InputRefusal::Header);
    reject(InputRefusal::Malformed);
  }

  void handle() {
    KeepAlive_ = Parser_->get().keep_alive();
    Stream_.expires_never();
    ++Server_->InFlight_;
    Buffer_.shrink_to_fit();
    Server_->Guard_->requestComplete(Id_);
    net::HttpRequest Request = fromBeast(Parser_->release());
    Parser_.reset();
    auto Self = shared_from_this();
    Server_->Handler_(std::move(Request), [Self](net::HttpResponse Response) {
      asio::post(Self->Server_->Context_,
                 [Self, Response = std::move(Response)]() mutable {
                   Self->respond(std::move(Response));
                 });
    });
  }

  void reject(InputRefusal Cause) {
    Server_->Guard_->refused(Cause, Peer_);
    Server_->Guard_->requestComplete(Id_);
    ++Server_->InFlight_;
    KeepAlive_ = false;
    Rejected_ = true;
    Parser_.reset();
    Buffer_.clear();
    Buffer_.shrink_to_fit();
    net::HttpResponse Response;
    Response.Status_ = statusOf(Cause);
    respond(std::move(Response));
  }

  static unsigned statusOf(InputRefusal Cause) {
    if (Cause == InputRefusal::Body)
      return 413;
    return Cause == InputRefusal::Header ? 431 : 400;
  }

  void respond(net::HttpResponse Response) {
    Message_ = {};
    Message_.version(11);
    Message_.result(Response.Status_);
    if (!Response.Body_.empty())
      Message_.set(http::field::content_type, Response.ContentType_);
    for (const auto &[Name, Value] : Response.Headers_)
      Message_.set(Name, Value);
    Message_.body() = std::move(Response.Body_);
    Message_.keep_alive(KeepAlive_ && !Server_->Draining_);
    Message_.prepare_payload();
    Stream_.expires_after(Server_->Limits_.WriteTimeout_);
    Server_->Guard_->response(Id_, Message_.body().capacity());
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          Self->onWritten(Failure);
        });
  }

  void onWritten(const Error &Failure) {
    --Server_->InFlight_;
    const bool Reusable = Message_.keep_alive();
    Message_ = {};
    if (Failure == beast::error::timeout)
      Server_->Guard_->refused(InputRefusal::Time, Peer_);
    if (Failure || Closed_)
      return close();
    Server_->Guard_->responseSent(Id_);
    if (Reusable)
      return readNext();
    if (!Rejected_)
      return close();
    Error Ignored; // The peer may have closed already.
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
    Stream_.expires_after(DiscardTimeout);
    discardInput(MaxDiscarded);
  }

  void discardInput(std::size_t Left) {
    Stream_.async_read_some(Buffer_.prepare(ReadSize),
                            [Self = shared_from_this(),
                             Left](const Error &Failure, std::size_t Size) {
                              if (Failure || Size >= Left)
                                return Self->close();
                              Self->discardInput(Left - Size);
                            });
  }

  /// Closes the connection for the guard. The pending operation then fails.
  void abort() {
    Closed_ = true;
    Stream_.close();
  }

  void close() {
    Closed_ = true;
    Server_->Guard_->disconnect(Id_);
    Error Ignored; // The peer may have closed already.
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
    Stream_.close();
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<HttpServer::Impl> Server_;
  std::string Peer_;
  InputId Id_ = 0;
  beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  /// Bytes of the current request that the parser has taken, and those among
  /// them that frame its chunks.
  std::size_t Consumed_ = 0;
  std::size_t Framing_ = 0;
  std::function<void(std::uint64_t, boost::string_view, Error &)>
      OnChunkHeader_ = [this](std::uint64_t Size, boost::string_view, Error &) {
        onChunkHeader(Size);
      };
  http::response<http::string_body> Message_;
  bool KeepAlive_ = true;
  bool Rejected_ = false;
  bool Closed_ = false;
};

} // namespace

void HttpServer::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (Failure)
          return retryLater(Self->RetryTimer_, [Self] { Self->accept(); });
        Error Ignored; // Without no_delay small responses are only slower.
        Socket.set_option(Tcp::no_delay(true), Ignored);
        std::make_shared<Session>(std::move(Socket), Self)->start();
        Self->accept();
      });
}

HttpServer::HttpServer(Loop &Owner, const net::Address &Listen,
                       const ServerLimits &Limits, RequestHandler Handler,
                       std::shared_ptr<InputGuard> Guard)
    : Impl_(std::make_shared<Impl>(Owner, Limits, std::move(Handler),
                                   std::move(Guard))) {
  Impl_->listen(Listen);
}

HttpServer::~HttpServer() {
  Error Ignored; // The process is ending.
  Impl_->Acceptor_.close(Ignored);
  Impl_->RetryTimer_.cancel();
}

std::uint16_t HttpServer::port() const {
  return Impl_->Acceptor_.local_endpoint().port();
}

void HttpServer::drain() { Impl_->Draining_ = true; }

std::size_t HttpServer::inFlight() const { return Impl_->InFlight_; }

} // namespace nutmegwell::aio
