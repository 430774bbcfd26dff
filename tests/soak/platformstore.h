#pragma once

#include "nutmegwell/aio/httpserver.h"
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace soak {

using namespace nutmegwell;

enum class StoreMode : std::uint8_t {
  Up,
  /// Answers 503; nothing is done.
  Busy,
  /// Answers nothing; nothing is done.
  Silent,
  /// Does appends and loses their answers.
  LosesAnswers,
  /// Answers 250 ms late.
  Slow
};

/// Stand-in of the platform's store: keyed topics of one partition, producers
/// with epochs and sequences, bounded waits, dropped history. Runs on a loop of
/// its own thread.
class PlatformStore {
public:
  PlatformStore(aio::Loop &Owner, const net::Address &Listen);

  std::uint16_t port() const { return Server_.port(); }
  /// Safe from any thread.
  void setMode(StoreMode Mode) { Mode_ = Mode; }
  /// Drops the records so far, but for the newest of each key.
  void dropHistory();
  /// Writes a record of the operator.
  void publish(const std::string &Key, const std::string &Value);

private:
  struct Record {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    std::int64_t Epoch_ = -1;
    std::int64_t Next_ = 0;
    /// Sequence and first offset of the newest appends.
    std::deque<std::pair<std::int64_t, std::size_t>> Newest_;
  };
  struct Topic {
    std::vector<Record> Records_;
    std::size_t First_ = 0;
    std::map<std::string, Producer> Producers_;
  };
  struct Waiter {
    std::string Topic_;
    std::size_t From_ = 0;
    aio::Responder Respond_;
    bool Done_ = false;
  };

  void handle(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse append(const net::HttpRequest &Request);
  void read(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse newest(const net::HttpRequest &Request);
  static net::HttpResponse page(const Topic &Of, std::size_t From);
  void wake(const std::string &Name);

  aio::Loop &Loop_;
  std::atomic<StoreMode> Mode_{StoreMode::Up};
  std::map<std::string, Topic> Topics_;
  std::vector<std::shared_ptr<Waiter>> Waiters_;
  aio::HttpServer Server_;
};

} // namespace soak
