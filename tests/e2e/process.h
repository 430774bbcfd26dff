#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace e2e {

/// A child process whose output lines the test can wait for.
class Process {
public:
  Process(const std::string &Program,
          const std::vector<std::string> &Arguments);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  /// Kills the process when it still runs.
  ~Process();

  /// Waits for an output line that contains \p Text, from line \p From on.
  /// Returns its number, or -1 after \p Limit or when the process has ended.
  int waitForLine(const std::string &Text, int From = 0,
                  std::chrono::milliseconds Limit = std::chrono::seconds(30));

  /// Returns how many lines so far contain \p Text.
  int countLines(const std::string &Text);
  std::vector<std::string> lines();

  void signal(int Signal);
  pid_t id() const { return Pid_; }

  /// Waits for the end. Returns the exit code, or minus the signal that ended
  /// the process.
  int wait();

private:
  void read();

  pid_t Pid_ = -1;
  int Output_ = -1;
  bool Reaped_ = false;
  int Status_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<std::string> Lines_;
  bool Ended_ = false;
  std::thread Reader_;
};

} // namespace e2e
