#pragma once

#include "http.h"
#include "record.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <vector>

namespace review {

/// Stand-in of the platform's store: topics of one partition, keyed records,
/// appends with epochs and sequence numbers, long polls.
class Store {
public:
  /// An append that was applied.
  struct Appended {
    /// Index of the host that made the call.
    std::size_t Source_ = 0;
    std::string Producer_;
    std::vector<std::string> Keys_;
  };

  /// Listens on one port for each host, which tells whose call it is.
  Store(const std::vector<std::uint16_t> &Ports, Record &Log);

  /// Appends a record of the operator.
  void publish(const std::string &Key, const std::string &Value);
  /// Sets how long each answer takes.
  void setAnswerTime(milliseconds Time);
  /// Sets a function that is called after an append was applied and before it
  /// is answered.
  void onAppended(std::function<void(const Appended &)> Function);

private:
  struct Entry {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    std::int64_t Epoch_ = -1;
    std::int64_t NextSequence_ = 0;
    std::deque<std::pair<std::int64_t, std::string>> Recent_;
  };
  struct Topic {
    std::vector<Entry> Entries_;
    std::map<std::string, Producer> Producers_;
  };

  std::optional<HttpResponse> handle(std::size_t Source,
                                     const HttpRequest &Request);
  HttpResponse append(std::size_t Source, const HttpRequest &Request);
  HttpResponse read(const HttpRequest &Request);
  HttpResponse newest(const HttpRequest &Request);

  Record &Log_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  milliseconds AnswerTime_{4};
  std::function<void(const Appended &)> OnAppended_;
  std::map<std::string, Topic> Topics_;
};

} // namespace review
