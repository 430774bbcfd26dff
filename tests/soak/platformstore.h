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
  /// Answers every request with 503 and applies none.
  Unavailable,
  /// Leaves every request unanswered and applies none.
  Unresponsive,
  /// Applies appends but never sends their responses.
  DropsAppendResponses,
  /// Applies requests at once and sends each response 250 ms late.
  Slow
};

/// Test double of the platform's record store: single-partition topics of keyed
/// records, producers fenced by epoch and deduplicated by sequence number, long
/// polls and log truncation. Runs on the event loop given to the constructor.
class PlatformStore {
public:
  PlatformStore(aio::Loop &Owner, const net::Address &Listen);

  std::uint16_t port() const { return Server_.port(); }
  /// Safe from any thread.
  void setMode(StoreMode Mode) { Mode_ = Mode; }
  /// Truncates every topic: reads below the current end get status 410, while
  /// the newest record of each key stays available. Safe from any thread.
  void dropHistory();
  /// Appends a record to the operator's topic. Safe from any thread.
  void publish(const std::string &Key, const std::string &Value);

private:
  struct Record {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    std::int64_t Epoch_ = -1;
    std::int64_t NextSequence_ = 0;
    /// Sequence number and first offset of the latest appends; a repeated
    /// append gets the offset of the original one.
    std::deque<std::pair<std::int64_t, std::size_t>> RecentAppends_;
  };
  struct Topic {
    std::vector<Record> Records_;
    std::size_t FirstOffset_ = 0;
    std::map<std::string, Producer> Producers_;
  };
  struct PendingRead {
    std::string Topic_;
    std::size_t From_ = 0;
    aio::Responder Respond_;
    bool Answered_ = false;
  };

  void handle(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse append(const net::HttpRequest &Request);
  void read(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse readNewest(const net::HttpRequest &Request);
  static net::HttpResponse encodePage(const Topic &TopicLog, std::size_t From);
  void answerPendingReads(const std::string &Name);

  aio::Loop &Loop_;
  std::atomic<StoreMode> Mode_{StoreMode::Up};
  std::map<std::string, Topic> Topics_;
  std::vector<std::shared_ptr<PendingRead>> PendingReads_;
  aio::HttpServer Server_;
};

} // namespace soak
