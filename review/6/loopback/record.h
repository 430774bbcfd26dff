#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace loopback {

/// Record of what was sent, answered and run, with the seconds since the start
/// of the case.
class Record {
public:
  explicit Record(const std::string &Path);

  /// Writes a line. Thread-safe.
  void write(const std::string &Who, const std::string &What);

private:
  std::mutex Mutex_;
  std::ofstream Out_;
  std::chrono::steady_clock::time_point Began_;
};

} // namespace loopback
