#include "nutmegwell/aio/httpclient.h"
#include "loopimpl.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <utility>

namespace nutmegwell::aio {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

/// Largest answer that is read; a page of the store is at most 1 MB and a read
/// at most the asked size.
constexpr std::size_t MaxAnswer = 8 << 20;

struct Call {
  net::HttpRequest Request_;
  core::Duration Timeout_;
  ResponseHandler Handler_;
  std::chrono::steady_clock::time_point Deadline_;
};

http::request<http::string_body> convert(const net::HttpRequest &Request,
                                         const std::string &Host) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method_);
  Message.target(Request.Query_.empty() ? Request.Path_
                                        : Request.Path_ + "?" + Request.Query_);
  Message.set(http::field::host, Host);
  for (const auto &[Name, Value] : Request.Headers_)
    Message.set(Name, Value);
  Message.body() = Request.Body_;
  Message.prepare_payload();
  return Message;
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(Loop &Owner, net::Address Address, std::size_t Most,
       core::Duration Longest)
      : Context_(Owner.impl().Context_), Server_(std::move(Address)),
        Name_(net::toString(Server_)), MaxConnections_(Most),
        MaxIdle_(Longest) {}

  struct Connection;

  void start(Call Work);
  void next();
  void finish(const std::shared_ptr<Connection> &Used, bool Reusable);

  asio::io_context &Context_;
  net::Address Server_;
  std::string Name_;
  std::size_t MaxConnections_;
  core::Duration MaxIdle_;
  std::size_t Open_ = 0;
  std::deque<Call> Waiting_;
  std::deque<std::shared_ptr<Connection>> Idle_;
};

struct HttpClient::Impl::Connection
    : std::enable_shared_from_this<HttpClient::Impl::Connection> {
  explicit Connection(asio::io_context &Context) : Stream_(Context) {}

  void carry(std::shared_ptr<Impl> Owner, Call Work) {
    Owner_ = std::move(Owner);
    Call_ = std::move(Work);
    Stream_.expires_at(Call_.Deadline_);
    if (Connected_)
      return send();
    Stream_.async_connect(endpointOf(Owner_->Server_),
                          [Self = shared_from_this()](const Error &Failure) {
                            if (Failure)
                              return Self->fail("connect", Failure);
                            Self->Connected_ = true;
                            Error Ignored; // Only slower without the option.
                            Self->Stream_.socket().set_option(
                                Tcp::no_delay(true), Ignored);
                            Self->send();
                          });
  }

  void send() {
    Message_ = convert(Call_.Request_, Owner_->Name_);
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->fail("exchange", Failure);
          Self->receive();
        });
  }

  void receive() {
    Parser_.emplace();
    Parser_->body_limit(MaxAnswer);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->fail("exchange", Failure);
          Self->deliver();
        });
  }

  void deliver() {
    http::response<http::string_body> Message = Parser_->release();
    net::HttpResponse Response;
    Response.Status_ = Message.result_int();
    Response.ContentType_ = std::string(Message[http::field::content_type]);
    for (const auto &Field : Message)
      Response.Headers_.emplace_back(std::string(Field.name_string()),
                                     std::string(Field.value()));
    Response.Body_ = std::move(Message.body());
    auto Handler = std::move(Call_.Handler_);
    Stream_.expires_never();
    Since_ = std::chrono::steady_clock::now();
    std::exchange(Owner_, nullptr)
        ->finish(shared_from_this(), Message.keep_alive());
    Handler(std::move(Response));
  }

  void fail(const char *Step, const Error &Failure) {
    auto Handler = std::move(Call_.Handler_);
    Stream_.close();
    const std::shared_ptr<Impl> Owner = std::exchange(Owner_, nullptr);
    Owner->finish(shared_from_this(), false);
    Handler(core::makeError(Failure == beast::error::timeout
                                ? absl::StatusCode::kDeadlineExceeded
                                : absl::StatusCode::kUnavailable,
                            Step, Owner->Name_, Failure.message()));
  }

  /// Set during a call only: an idle connection is kept by its owner and must
  /// not keep it.
  std::shared_ptr<Impl> Owner_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  Call Call_;
  http::request<http::string_body> Message_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  bool Connected_ = false;
  std::chrono::steady_clock::time_point Since_{};
};

void HttpClient::Impl::start(Call Work) {
  Waiting_.push_back(std::move(Work));
  next();
}

void HttpClient::Impl::next() {
  while (!Waiting_.empty()) {
    const auto Now = std::chrono::steady_clock::now();
    if (Waiting_.front().Deadline_ <= Now) {
      Call Late = std::move(Waiting_.front());
      Waiting_.pop_front();
      Late.Handler_(core::makeError(absl::StatusCode::kDeadlineExceeded,
                                    "connect", Name_,
                                    "no connection was free in time"));
      continue;
    }
    std::shared_ptr<Connection> Chosen;
    while (!Chosen && !Idle_.empty()) {
      Chosen = Idle_.back();
      Idle_.pop_back();
      if (Now - Chosen->Since_ > MaxIdle_) {
        Chosen->Stream_.close();
        Chosen.reset();
        --Open_;
      }
    }
    if (!Chosen) {
      if (Open_ >= MaxConnections_)
        return;
      ++Open_;
      Chosen = std::make_shared<Connection>(Context_);
    }
    Call Work = std::move(Waiting_.front());
    Waiting_.pop_front();
    Chosen->carry(shared_from_this(), std::move(Work));
  }
}

void HttpClient::Impl::finish(const std::shared_ptr<Connection> &Used,
                              bool Reusable) {
  if (Reusable) {
    Idle_.push_back(Used);
  } else {
    Used->Stream_.close();
    --Open_;
  }
  asio::post(Context_, [Self = shared_from_this()] { Self->next(); });
}

HttpClient::HttpClient(Loop &Owner, net::Address Server,
                       std::size_t MaxConnections, core::Duration MaxIdle)
    : Impl_(std::make_shared<Impl>(Owner, std::move(Server), MaxConnections,
                                   MaxIdle)) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(net::HttpRequest Request, core::Duration Timeout,
                      ResponseHandler Handler) {
  Call Work{std::move(Request), Timeout, std::move(Handler),
            std::chrono::steady_clock::now() + Timeout};
  asio::post(Impl_->Context_, [Impl = Impl_, Work = std::move(Work)]() mutable {
    Impl->start(std::move(Work));
  });
}

} // namespace nutmegwell::aio
