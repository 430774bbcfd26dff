#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes what was sent, answered and run to record.txt, one line for each
/// event with its time since the start of the record. Safe from any thread.
class Record {
public:
  explicit Record(const std::string &Folder);

  void add(const std::string &Who, const std::string &What);
  /// Returns the time since the start of the record.
  milliseconds elapsed() const;

private:
  const Clock::time_point Begin_ = Clock::now();
  std::mutex Mutex_;
  std::ofstream File_;
};

} // namespace review
