#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace loopback {

using Milliseconds = std::chrono::milliseconds;
using Request = boost::beast::http::request<boost::beast::http::string_body>;

struct Response {
  unsigned Status_ = 200;
  std::string Body_ = "{}";
};

/// Sends the response to a request. May be called later, on the thread of the
/// server's context, or never.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request &, Respond)>;

/// HTTP/1.1 server on a free port of 127.0.0.1.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, Handler Function);

  /// Serves \p Port, which was reserved before.
  HttpServer(boost::asio::io_context &Context, std::uint16_t Port,
             Handler Function);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  std::uint16_t port() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

/// Answer to a call; status 0 when there was none.
struct Answer {
  unsigned Status_ = 0;
  std::string Body_;
};

/// Calls a server of 127.0.0.1 and waits for its answer for up to \p Timeout.
Answer call(std::uint16_t Port, const std::string &Method,
            const std::string &Target,
            const std::map<std::string, std::string> &Headers,
            const std::string &Body, Milliseconds Timeout);

/// Returns a port of 127.0.0.1 that is free at present.
std::uint16_t freePort();

/// Returns the value of a parameter in the query of \p Target, or an empty
/// string.
std::string queryParameter(const std::string &Target, const std::string &Name);

} // namespace loopback
