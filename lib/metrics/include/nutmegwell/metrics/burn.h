#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::metrics {

/// How a request ended for its caller.
enum class RequestOutcome : std::uint8_t {
  Answered,
  Refused,
  Unknown,
  /// By the caller; counts neither as a success nor as an error.
  Cancelled
};

/// What a client account may expect of a service.
struct Objective {
  /// Share of requests that may be errors, above 0.
  double AllowedErrors_ = 0.001;
  /// A slower answer is an error.
  core::Duration Latency_ = std::chrono::seconds(1);
};

struct BurnWindows {
  /// Width of one bucket. A window is exact to one bucket: it may cover up to
  /// one more.
  core::Duration Bucket_ = std::chrono::seconds(30);
  core::Duration Short_ = std::chrono::minutes(5);
  core::Duration Long_ = std::chrono::hours(1);
};

/// Requests that ended within some time.
struct OutcomeCounts {
  std::uint32_t Requests_ = 0;
  std::uint32_t Refused_ = 0;
  std::uint32_t Unknown_ = 0;
  std::uint32_t Slow_ = 0;
  std::uint32_t Cancelled_ = 0;
};

struct WindowBurn {
  /// Requests_ leaves out the cancelled ones.
  OutcomeCounts Counts_;
  /// Share of requests that were errors, 0 without requests.
  double ErrorRate_ = 0;
  /// Error rate divided by the allowed one; at 1 the error budget is used up
  /// exactly when its period ends.
  double Burn_ = 0;
};

struct BurnRow {
  std::string Account_;
  std::string Service_;
  Objective Objective_;
  WindowBurn Short_;
  WindowBurn Long_;
  /// True when both windows burn at AlertBurn or more: the long one shows that
  /// it matters, the short one that it still goes on.
  bool Alert_ = false;
};

/// Uses 2% of a 30-day error budget in one hour.
constexpr double AlertBurn = 14.4;

/// Use of the error budget of each client account and service.
struct BurnReport {
  BurnWindows Windows_;
  /// By account, then service.
  std::vector<BurnRow> Rows_;
};

/// Returns the text of GET /v1/burn.
std::string formatBurn(const BurnReport &Report);

/// Counts of one account and service in a ring of buckets.
struct BurnSeries {
  struct Bucket {
    /// Number of the bucket since the epoch of the clock.
    std::int64_t Number_ = -1;
    OutcomeCounts Counts_;
  };
  std::vector<Bucket> Ring_;
  Objective Objective_;
};

/// Adds one request to \p Series. A time before that of an earlier call is
/// counted in its own bucket as long as the ring still has it.
void addRequest(BurnSeries &Series, const BurnWindows &Windows,
                RequestOutcome Outcome, core::Duration Latency,
                core::TimePoint Now);

/// Returns the use of the error budget in the \p Window before \p Now.
WindowBurn windowBurn(const BurnSeries &Series, const BurnWindows &Windows,
                      core::Duration Window, core::TimePoint Now);

/// Measures the use of the error budget. Safe from any thread; its lock is held
/// for counting only.
class BurnMeter {
public:
  /// Series that are kept, at about 4 KB each with the default windows. The
  /// requests of further accounts are counted as account and service
  /// "(other)".
  static constexpr std::size_t MaxSeries = 1024;

  explicit BurnMeter(Objective Default, BurnWindows Windows = BurnWindows());

  /// Sets the objective of one account and service; past requests keep the
  /// verdict of the earlier one.
  void setObjective(const std::string &Account, const std::string &Service,
                    Objective Value);
  void record(const std::string &Account, const std::string &Service,
              RequestOutcome Outcome, core::Duration Latency,
              core::TimePoint Now);
  BurnReport report(core::TimePoint Now) const;

private:
  using Key = std::pair<std::string, std::string>;
  BurnSeries &series(const std::string &Account, const std::string &Service);

  const Objective Default_;
  const BurnWindows Windows_;
  mutable std::mutex Mutex_;
  std::map<Key, BurnSeries> Series_;
};

} // namespace nutmegwell::metrics
