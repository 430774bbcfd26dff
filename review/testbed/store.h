#pragma once

#include "http.h"
#include "record.h"
#include <condition_variable>
#include <deque>

namespace testbed {

/// Stand-in for the platform's store: keyed topics with one partition,
/// producers with epochs and sequences, long polls, pages of newest records,
/// and the limits on records and calls.
class Store {
public:
  enum class Mode { Up, Silent, Busy };

  explicit Store(Record &Lines);

  int port() const { return Server_.port(); }
  void setMode(Mode Wanted);
  /// Appends a record of the operator.
  void publish(const std::string &Key, const std::string &Value);
  /// Removes the history of the system's own topic. The newest record of each
  /// key is retained.
  void dropHistory();

private:
  struct Item {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    long Epoch_ = -1;
    long NextSequence_ = 0;
    /// Sequence and offset of the latest appends.
    std::deque<std::pair<long, std::size_t>> Recent_;
  };
  struct Topic {
    std::vector<Item> Items_;
    std::size_t FirstRetained_ = 0;
    std::map<std::string, std::size_t> Newest_;
    std::map<std::string, Producer> Producers_;
  };

  std::optional<Response> handle(const Request &Message);
  Response append(const Request &Message);
  Response read(const Request &Message);
  Response readNewest(const Request &Message);
  static void add(Topic &Target, Item Added);

  Record &Record_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  Mode Mode_ = Mode::Up;
  std::map<std::string, Topic> Topics_;
  std::size_t Oversized_ = 0;
  Server Server_;
};

} // namespace testbed
