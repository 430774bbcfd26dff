#include "nutmegwell/aio/httpclient.h"
#include "loopimpl.h"
#include <algorithm>
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

/// Maximum size of a response body in bytes. A page of the store has at most 1
/// MB, and a read returns at most the requested size.
constexpr std::size_t MaxResponseSize = 8 << 20;

/// Maximum size in bytes of a response's header, and of one chunk header with
/// its extensions or of all trailers.
constexpr std::size_t MaxResponseHeader = 16384;
/// Bytes that are buffered of a response; the parser takes those of its body at
/// once.
constexpr std::size_t MaxBuffered = 4 * MaxResponseHeader;

struct Call {
  net::HttpRequest Request_;
  core::Duration Timeout_;
  ResponseHandler Handler_;
  ProgressHandler OnProgress_;
  std::chrono::steady_clock::time_point Deadline_;
  /// Latest time to which progress can put off the deadline.
  std::chrono::steady_clock::time_point LastDeadline_;
};

http::request<http::string_body> toBeast(const net::HttpRequest &Request,
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
  Impl(Loop &Owner, net::Address Address, std::size_t MaxOpen,
       core::Duration MaxIdleTime)
      : Context_(Owner.impl().Context_), Server_(std::move(Address)),
        Authority_(net::toString(Server_)), MaxConnections_(MaxOpen),
        MaxIdle_(MaxIdleTime) {}

  struct Connection;

  void enqueue(Call PendingCall);
  void startWaitingCalls();
  void releaseConnection(const std::shared_ptr<Connection> &Released,
                         bool Reusable);

  asio::io_context &Context_;
  net::Address Server_;
  std::string Authority_;
  std::size_t MaxConnections_;
  core::Duration MaxIdle_;
  std::size_t OpenCount_ = 0;
  std::deque<Call> WaitingCalls_;
  std::deque<std::shared_ptr<Connection>> IdleConnections_;
};

struct HttpClient::Impl::Connection
    : std::enable_shared_from_this<HttpClient::Impl::Connection> {
  explicit Connection(asio::io_context &Context) : Stream_(Context) {}

  void perform(std::shared_ptr<Impl> Owner, Call PendingCall) {
    Owner_ = std::move(Owner);
    Call_ = std::move(PendingCall);
    Stream_.expires_at(Call_.Deadline_);
    if (Connected_)
      return send();
    Stream_.async_connect(
        endpointOf(Owner_->Server_),
        [Self = shared_from_this()](const Error &Failure) {
          if (Failure)
            return Self->reportError("connect", Failure);
          Self->Connected_ = true;
          Error Ignored; // Without no_delay the connection is only slower.
          Self->Stream_.socket().set_option(Tcp::no_delay(true), Ignored);
          Self->send();
        });
  }

  void send() {
    Message_ = toBeast(Call_.Request_, Owner_->Authority_);
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->reportError("exchange", Failure);
          Self->receive();
        });
  }

  void receive() {
    Parser_.emplace();
    Parser_->body_limit(MaxResponseSize);
    Parser_->header_limit(MaxResponseHeader);
    Parser_->eager(true);
    receiveMore();
  }

  void receiveMore() {
    http::async_read_some(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->reportError("exchange", Failure);
          if (Self->Parser_->is_done())
            return Self->reportResponse();
          Self->noteProgress();
          Self->receiveMore();
        });
  }

  void noteProgress() {
    if (!Call_.OnProgress_)
      return;
    const auto Now = std::chrono::steady_clock::now();
    Stream_.expires_at(std::min(Now + Call_.Timeout_, Call_.LastDeadline_));
    if (Now - ProgressReportedAt_ < ProgressInterval)
      return;
    ProgressReportedAt_ = Now;
    Call_.OnProgress_();
  }

  void reportResponse() {
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
    IdleSince_ = std::chrono::steady_clock::now();
    std::exchange(Owner_, nullptr)
        ->releaseConnection(shared_from_this(), Message.keep_alive());
    Handler(std::move(Response));
  }

  void reportError(const char *Step, const Error &Failure) {
    auto Handler = std::move(Call_.Handler_);
    Stream_.close();
    const std::shared_ptr<Impl> Owner = std::exchange(Owner_, nullptr);
    Owner->releaseConnection(shared_from_this(), false);
    Handler(core::makeError(codeOf(Failure), Step, Owner->Authority_,
                            Failure.message()));
  }

  static absl::StatusCode codeOf(const Error &Failure) {
    if (Failure == beast::error::timeout)
      return absl::StatusCode::kDeadlineExceeded;
    if (Failure == asio::error::connection_refused)
      return absl::StatusCode::kNotFound;
    return absl::StatusCode::kUnavailable;
  }

  /// Set only during a call. The owner holds its idle connections, so a pointer
  /// back would be a reference cycle.
  std::shared_ptr<Impl> Owner_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{MaxBuffered};
  Call Call_;
  http::request<http::string_body> Message_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  bool Connected_ = false;
  std::chrono::steady_clock::time_point IdleSince_{};
  std::chrono::steady_clock::time_point ProgressReportedAt_{};
};

void HttpClient::Impl::enqueue(Call PendingCall) {
  WaitingCalls_.push_back(std::move(PendingCall));
  startWaitingCalls();
}

void HttpClient::Impl::startWaitingCalls() {
  while (!WaitingCalls_.empty()) {
    const auto Now = std::chrono::steady_clock::now();
    if (WaitingCalls_.front().Deadline_ <= Now) {
      Call Expired = std::move(WaitingCalls_.front());
      WaitingCalls_.pop_front();
      Expired.Handler_(core::makeError(absl::StatusCode::kDeadlineExceeded,
                                       "connect", Authority_,
                                       "no connection became free before the "
                                       "timeout"));
      continue;
    }
    std::shared_ptr<Connection> Chosen;
    while (!Chosen && !IdleConnections_.empty()) {
      Chosen = IdleConnections_.back();
      IdleConnections_.pop_back();
      if (Now - Chosen->IdleSince_ > MaxIdle_) {
        Chosen->Stream_.close();
        Chosen.reset();
        --OpenCount_;
      }
    }
    if (!Chosen) {
      if (OpenCount_ >= MaxConnections_)
        return;
      ++OpenCount_;
      Chosen = std::make_shared<Connection>(Context_);
    }
    Call PendingCall = std::move(WaitingCalls_.front());
    WaitingCalls_.pop_front();
    Chosen->perform(shared_from_this(), std::move(PendingCall));
  }
}

void HttpClient::Impl::releaseConnection(
    const std::shared_ptr<Connection> &Released, bool Reusable) {
  if (Reusable) {
    IdleConnections_.push_back(Released);
  } else {
    Released->Stream_.close();
    --OpenCount_;
  }
  asio::post(Context_,
             [Self = shared_from_this()] { Self->startWaitingCalls(); });
}

HttpClient::HttpClient(Loop &Owner, net::Address Server,
                       std::size_t MaxConnections, core::Duration MaxIdle)
    : Impl_(std::make_shared<Impl>(Owner, std::move(Server), MaxConnections,
                                   MaxIdle)) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(net::HttpRequest Request, core::Duration Timeout,
                      ResponseHandler Handler, ProgressHandler OnProgress) {
  const auto Now = std::chrono::steady_clock::now();
  Call PendingCall{std::move(Request), Timeout,
                   std::move(Handler), std::move(OnProgress),
                   Now + Timeout,      Now + MaxTimeouts * Timeout};
  asio::post(Impl_->Context_,
             [Impl = Impl_, PendingCall = std::move(PendingCall)]() mutable {
               Impl->enqueue(std::move(PendingCall));
             });
}

} // namespace nutmegwell::aio
