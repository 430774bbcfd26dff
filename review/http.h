#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct HttpRequest {
  std::string Method_ = "GET";
  /// Path without the query.
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// By name in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct HttpResponse {
  unsigned Status_ = 200;
  std::string Body_;
};

/// Returns the response, or nothing to leave the request unanswered; nothing
/// more is then read from its connection.
using HttpHandler =
    std::function<std::optional<HttpResponse>(const HttpRequest &)>;

/// HTTP/1.1 server on loopback with a thread for each connection. Runs until
/// the end of the process.
class HttpServer {
public:
  HttpServer(std::uint16_t Port, HttpHandler Handler);
};

/// Sends a request to a port on loopback over a new connection. Returns nothing
/// when there is no complete response in time.
std::optional<HttpResponse> sendRequest(std::uint16_t Port,
                                        const HttpRequest &Request,
                                        std::chrono::milliseconds Timeout);

/// Returns a free TCP port on loopback.
std::uint16_t reservePort();

/// Forwards connections on loopback to a port. While it is cut, it holds back
/// all bytes, of open and of new connections, in both directions.
class Proxy {
public:
  explicit Proxy(std::uint16_t Target);

  std::uint16_t port() const { return Port_; }
  void setCut(bool Cut);

  struct State;

private:
  std::uint16_t Port_;
  State *State_;
};

} // namespace review
