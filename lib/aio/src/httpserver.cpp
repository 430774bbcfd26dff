#include "nutmegwell/aio/httpserver.h"
#include "loopimpl.h"
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
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
  Impl(Loop &Owner, const ServerLimits &Bounds, RequestHandler Function)
      : Context_(Owner.impl().Context_), Acceptor_(Context_), Limits_(Bounds),
        Handler_(std::move(Function)) {}

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
  ServerLimits Limits_;
  RequestHandler Handler_;
  bool Draining_ = false;
  std::size_t Connections_ = 0;
  std::size_t InFlight_ = 0;
};

namespace {

/// One connection. Pending operations and existing responders keep it alive.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server)
      : Stream_(std::move(Socket)), Server_(std::move(Server)) {
    ++Server_->Connections_;
  }

  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session() { --Server_->Connections_; }

  void readNext() {
    Parser_.emplace();
    Parser_->header_limit(
        static_cast<std::uint32_t>(Server_->Limits_.MaxHeader_));
    Parser_->body_limit(Server_->Limits_.MaxBody_);
    if (Buffer_.size() > 0)
      return readRequest();
    Stream_.expires_after(Server_->Limits_.IdleTimeout_);
    Stream_.async_read_some(
        Buffer_.prepare(ReadSize),
        [Self = shared_from_this()](const Error &Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          Self->Buffer_.commit(Size);
          Self->readRequest();
        });
  }

private:
  /// Bytes of the first read of a request; most requests fit into one read.
  static constexpr std::size_t ReadSize = 2048;

  void readRequest() {
    Stream_.expires_after(Server_->Limits_.ReadTimeout_);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          Self->onRead(Failure);
        });
  }

  void onRead(const Error &Failure) {
    if (Failure == http::error::body_limit ||
        Failure == http::error::header_limit)
      return rejectRequest(Failure == http::error::body_limit ? 413 : 431);
    if (Failure == http::error::end_of_stream ||
        Failure == beast::error::timeout)
      return close();
    if (Failure) {
      if (Failure.category() ==
          make_error_code(http::error::bad_method).category())
        return rejectRequest(400);
      return close();
    }
    KeepAlive_ = Parser_->get().keep_alive();
    Stream_.expires_never();
    ++Server_->InFlight_;
    auto Self = shared_from_this();
    Server_->Handler_(
        fromBeast(Parser_->release()), [Self](net::HttpResponse Response) {
          asio::post(Self->Server_->Context_,
                     [Self, Response = std::move(Response)]() mutable {
                       Self->respond(std::move(Response));
                     });
        });
  }

  void rejectRequest(unsigned Status) {
    ++Server_->InFlight_;
    KeepAlive_ = false;
    net::HttpResponse Response;
    Response.Status_ = Status;
    respond(std::move(Response));
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
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          --Self->Server_->InFlight_;
          if (Failure || !Self->Message_.keep_alive())
            return Self->close();
          Self->readNext();
        });
  }

  void close() {
    Error Ignored; // The peer may have closed already.
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
    Stream_.close();
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<HttpServer::Impl> Server_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  http::response<http::string_body> Message_;
  bool KeepAlive_ = true;
};

} // namespace

void HttpServer::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure && Self->Connections_ < Self->Limits_.MaxConnections_) {
          Error Ignored; // Without no_delay small responses are only slower.
          Socket.set_option(Tcp::no_delay(true), Ignored);
          std::make_shared<Session>(std::move(Socket), Self)->readNext();
        }
        Self->accept();
      });
}

HttpServer::HttpServer(Loop &Owner, const net::Address &Listen,
                       const ServerLimits &Limits, RequestHandler Handler)
    : Impl_(std::make_shared<Impl>(Owner, Limits, std::move(Handler))) {
  Impl_->listen(Listen);
}

HttpServer::~HttpServer() {
  Error Ignored; // The process is ending.
  Impl_->Acceptor_.close(Ignored);
}

std::uint16_t HttpServer::port() const {
  return Impl_->Acceptor_.local_endpoint().port();
}

void HttpServer::drain() { Impl_->Draining_ = true; }

std::size_t HttpServer::inFlight() const { return Impl_->InFlight_; }

} // namespace nutmegwell::aio
