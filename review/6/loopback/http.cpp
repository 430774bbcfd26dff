#include "http.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <memory>
#include <vector>

namespace loopback {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

Tcp::endpoint endpointOf(std::uint16_t Port) {
  return {asio::ip::address_v4::loopback(), Port};
}

} // namespace

class Session;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context &Context, std::uint16_t Port, Handler Function)
      : Context_(Context), Acceptor_(Context, endpointOf(Port)),
        Handler_(std::move(Function)) {}

  void accept();

  /// Closes the port and all connections. Called on the context's thread.
  void close();

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  Handler Handler_;
  std::vector<std::weak_ptr<Session>> Sessions_;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Owner)
      : Stream_(std::move(Socket)), Owner_(std::move(Owner)) {}

  void read() {
    Request_ = {};
    http::async_read(
        Stream_, Buffer_, Request_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return;
          Self->Owner_->Handler_(Self->Request_, [Self](Response Value) {
            asio::post(
                Self->Owner_->Context_,
                [Self, Value = std::move(Value)] { Self->write(Value); });
          });
        });
  }

  void close() {
    Error Ignored;
    Stream_.socket().close(Ignored);
  }

private:
  void write(const Response &Value) {
    Response_ = {};
    Response_.version(11);
    Response_.result(Value.Status_);
    Response_.set(http::field::content_type, "application/json");
    Response_.body() = Value.Body_;
    Response_.keep_alive(Request_.keep_alive());
    Response_.prepare_payload();
    http::async_write(
        Stream_, Response_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (!Failure && Self->Response_.keep_alive())
            Self->read();
        });
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<HttpServer::Impl> Owner_;
  beast::flat_buffer Buffer_;
  Request Request_;
  http::response<http::string_body> Response_;
};

void HttpServer::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (!Self->Acceptor_.is_open())
          return;
        if (!Failure) {
          auto Opened = std::make_shared<Session>(std::move(Socket), Self);
          Self->Sessions_.push_back(Opened);
          Opened->read();
        }
        Self->accept();
      });
}

void HttpServer::Impl::close() {
  Error Ignored;
  Acceptor_.close(Ignored);
  for (const std::weak_ptr<Session> &Each : Sessions_)
    if (auto Open = Each.lock())
      Open->close();
}

HttpServer::HttpServer(asio::io_context &Context, Handler Function)
    : HttpServer(Context, 0, std::move(Function)) {}

HttpServer::HttpServer(asio::io_context &Context, std::uint16_t Port,
                       Handler Function)
    : Impl_(std::make_shared<Impl>(Context, Port, std::move(Function))) {
  Impl_->accept();
}

HttpServer::~HttpServer() {
  asio::post(Impl_->Context_, [Closed = Impl_] { Closed->close(); });
}

std::uint16_t HttpServer::port() const {
  return Impl_->Acceptor_.local_endpoint().port();
}

Answer call(std::uint16_t Port, const std::string &Method,
            const std::string &Target,
            const std::map<std::string, std::string> &Headers,
            const std::string &Body, Milliseconds Timeout) {
  asio::io_context Context;
  beast::tcp_stream Stream(Context);
  beast::flat_buffer Buffer;
  Request Message;
  http::response<http::string_body> Received;
  Answer Result;
  Message.version(11);
  Message.method_string(Method);
  Message.target(Target);
  Message.set(http::field::host, "127.0.0.1");
  Message.set(http::field::content_type, "application/json");
  for (const auto &[Name, Value] : Headers)
    Message.set(Name, Value);
  Message.keep_alive(false);
  Message.body() = Body;
  Message.prepare_payload();
  Stream.expires_after(Timeout);
  Stream.async_connect(endpointOf(Port), [&](const Error &Refused) {
    if (Refused)
      return;
    http::async_write(Stream, Message, [&](const Error &Lost, std::size_t) {
      if (Lost)
        return;
      http::async_read(Stream, Buffer, Received,
                       [&](const Error &Failure, std::size_t) {
                         if (!Failure)
                           Result = {Received.result_int(), Received.body()};
                       });
    });
  });
  Context.run();
  return Result;
}

std::uint16_t freePort() {
  asio::io_context Context;
  Tcp::acceptor Probe(Context, endpointOf(0));
  return Probe.local_endpoint().port();
}

std::string queryParameter(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t Begin = At + 1;
    At = Target.find('&', Begin);
    const std::string Pair = Target.substr(
        Begin, At == std::string::npos ? std::string::npos : At - Begin);
    if (Pair.rfind(Name + "=", 0) == 0)
      return Pair.substr(Name.size() + 1);
  }
  return {};
}

} // namespace loopback
