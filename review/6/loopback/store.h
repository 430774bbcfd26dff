#pragma once

#include "http.h"
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace loopback {

/// Stand-in of the platform's store: keyed topics of one partition, appends
/// with producer, epoch and sequence, reads that wait, pages of the newest
/// records. Each client host has its own port, so that the store can turn one
/// host away and serve the others.
class Store {
public:
  explicit Store(boost::asio::io_context &Context);

  /// Returns the port for a host.
  std::uint16_t portOf(const std::string &Host);

  /// Leaves all calls of \p Host without an answer and does nothing for them.
  void setSilent(const std::string &Host, bool Silent);

  /// Writes a record of the operator; an empty value drops the key.
  void publish(const std::string &Key, const std::string &Value);

private:
  struct Record {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    long Epoch_ = -1;
    long NextSequence_ = 0;
    std::deque<std::pair<long, std::size_t>> Recent_;
  };
  struct Topic {
    std::vector<Record> Records_;
    std::map<std::string, Producer> Producers_;
  };
  struct PendingRead {
    std::string Topic_;
    std::size_t From_ = 0;
    Respond Respond_;
    bool Answered_ = false;
  };

  void handle(const std::string &Host, const Request &Message,
              const Respond &Send);
  Response append(const std::string &Target, const std::string &Body);
  void read(const std::string &Target, const Respond &Send);
  Response newest(const std::string &Target);
  Response page(const std::string &Name, std::size_t From);
  void answerReads(const std::string &Name);

  boost::asio::io_context &Context_;
  std::recursive_mutex Mutex_;
  std::map<std::string, std::unique_ptr<HttpServer>> Servers_;
  std::set<std::string> SilentHosts_;
  std::map<std::string, Topic> Topics_;
  std::list<std::shared_ptr<PendingRead>> Reads_;
};

} // namespace loopback
