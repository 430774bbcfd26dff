#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace testbed {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Request {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// Names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  std::string query(const std::string &Name) const;
  std::string header(const std::string &Name) const;
};

struct Response {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
};

/// HTTP/1.1 server on 127.0.0.1 with a thread for each connection. A handler
/// that returns nothing leaves its request unanswered for good, and the
/// connection open.
class Server {
public:
  using Handler = std::function<std::optional<Response>(const Request &)>;

  explicit Server(Handler Function);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  int port() const { return Port_; }

private:
  void accept();
  void serve(int Socket);

  Handler Handler_;
  int Listener_ = -1;
  int Port_ = 0;
  std::atomic<bool> Closing_{false};
  std::mutex Mutex_;
  std::set<int> Sockets_;
  std::vector<std::thread> Threads_;
  std::thread Acceptor_;
};

/// Sends a request to 127.0.0.1:\p Port on a connection of its own. Returns
/// nothing without a whole response within \p Timeout.
std::optional<Response> call(int Port, const Request &Message,
                             Milliseconds Timeout);

/// Returns a port on which nothing listened a moment ago.
int freePort();

} // namespace testbed
