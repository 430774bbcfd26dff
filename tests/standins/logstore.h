#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/net/http.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>

namespace nutmegwell::standins {

/// Faults of the log, in force until they are set again.
struct LogFaults {
  /// Every call fails without effect.
  bool Outage_ = false;
  /// Every call takes this long more.
  core::Duration Slow_{};
  /// The next appends take effect, but their answers are lost.
  unsigned LoseAnswers_ = 0;
  /// The next appends are refused before they take effect.
  unsigned Refuse_ = 0;
};

/// One stream of the platform's log, in memory. Safe from any thread.
class LogStore {
public:
  /// Retains the last \p Retention entries.
  explicit LogStore(std::size_t Retention) : Retention_(Retention) {}

  /// Sets a function that is told of each append, in order. Call before use.
  void traceTo(std::function<void(core::Offset)> Trace) {
    Trace_ = std::move(Trace);
  }

  absl::StatusOr<core::Offset> append(std::string Bytes);
  absl::StatusOr<logclient::ReadResult> read(core::Offset From, std::size_t Max,
                                             core::Duration Wait);

  void setFaults(const LogFaults &Faults);
  LogFaults faults() const;

  /// Drops the entries below \p First.
  void dropBelow(core::Offset First);

  core::Offset next() const;

  /// Ends every waiting read.
  void close();

private:
  bool delay(std::unique_lock<std::mutex> &Lock);

  const std::size_t Retention_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<std::string> Entries_;
  core::Offset First_ = 0;
  LogFaults Faults_;
  std::function<void(core::Offset)> Trace_;
  bool Closed_ = false;
};

/// Returns \p Store as a LogService of this process. It must outlive the
/// service.
logclient::LogService serviceOf(LogStore &Store);

/// Answers the log protocol for any stream name, and the control endpoint
/// POST /faults?outage=0|1&slow_ms=N&lose_answers=N&refuse=N, which leaves
/// faults that it does not name as they are.
net::HttpResponse handleLog(LogStore &Store, const net::HttpRequest &Request);

/// Bounds for a server of handleLog: entries of up to 64 MiB.
net::HttpLimits logServerLimits();

} // namespace nutmegwell::standins
