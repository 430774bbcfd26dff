#pragma once

#include "http.h"
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace testbed {

/// What a case sends, receives and runs, line by line in a file.
class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {}

  /// Adds a line with the time in milliseconds. Thread-safe.
  void add(const std::string &Line);
  /// Adds a line to the file and to standard output.
  void say(const std::string &Line);

private:
  std::mutex Mutex_;
  std::ofstream File_;
  Clock::time_point Begin_ = Clock::now();
};

/// Runs of all executors, for the rule that a task runs once. Thread-safe.
class RunLedger {
public:
  void started(const std::string &Task, std::uint64_t Run,
               const std::string &Executor);
  void ended(const std::string &Task, std::uint64_t Run,
             const std::string &How);
  /// The system has acknowledged the end of a run.
  void noted(const std::string &Task, std::uint64_t Run);

  /// Returns a line for each start after a run of the same task had ended done
  /// whose end was acknowledged, and for each two runs at the same time.
  std::vector<std::string> repeatedStarts() const;
  std::size_t startCount() const;
  /// Returns the number of tasks of \p Job with a run that ended done.
  std::size_t doneCount(const std::string &Job) const;
  std::size_t notedCount(const std::string &Job) const;

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::string Executor_;
    Clock::time_point Start_{};
    Clock::time_point End_ = Clock::time_point::max();
    std::string How_;
    bool Noted_ = false;
  };

  static bool isOf(const std::string &Task, const std::string &Job) {
    return Task.rfind(Job + ".", 0) == 0;
  }

  mutable std::mutex Mutex_;
  std::map<std::string, std::vector<Run>> Runs_;
};

} // namespace testbed
