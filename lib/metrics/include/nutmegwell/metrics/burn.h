#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::metrics {

/// Outcome of a request as its caller sees it.
enum class RequestOutcome : std::uint8_t {
  Answered,
  Refused,
  Unknown,
  /// Cancelled by the caller; counts neither as a success nor as an error.
  Cancelled
};

/// Service-level objective of a service for a client account.
struct Objective {
  /// Fraction of requests that may be errors; greater than 0.
  double AllowedErrors_ = 0.001;
  /// A slower response counts as an error.
  core::Duration Latency_ = std::chrono::seconds(1);
};

/// Time windows over which burn rates are computed.
struct BurnWindows {
  /// Duration of a bucket. A window may cover up to one bucket more than its
  /// length.
  core::Duration Bucket_ = std::chrono::seconds(30);
  core::Duration Short_ = std::chrono::minutes(5);
  core::Duration Long_ = std::chrono::hours(1);
};

/// Number of requests by outcome.
struct OutcomeCounts {
  std::uint32_t Requests_ = 0;
  std::uint32_t Refused_ = 0;
  std::uint32_t Unknown_ = 0;
  std::uint32_t Slow_ = 0;
  std::uint32_t Cancelled_ = 0;
};

/// Burn rate over one window.
struct WindowBurnRate {
  /// Requests_ excludes cancelled requests.
  OutcomeCounts Counts_;
  /// Fraction of requests that were errors; 0 if there were no requests.
  double ErrorRate_ = 0;
  /// Error rate divided by the allowed error rate. At 1, the error budget is
  /// used up exactly at the end of its period.
  double BurnRate_ = 0;
};

/// Burn rates of one client account and service.
struct BurnRow {
  std::string Account_;
  std::string Service_;
  Objective Objective_;
  WindowBurnRate Short_;
  WindowBurnRate Long_;
  /// True if the burn rate of both windows is at least AlertBurnRate. The long
  /// window shows that the errors are significant, the short one that they are
  /// still occurring.
  bool Alert_ = false;
};

/// Burn rate that uses 2% of a 30-day error budget in one hour.
constexpr double AlertBurnRate = 14.4;

/// Burn rates of all client accounts and services.
struct BurnReport {
  BurnWindows Windows_;
  /// Sorted by account, then by service.
  std::vector<BurnRow> Rows_;
};

/// Returns the JSON body of the response to GET /v1/burn.
std::string formatBurn(const BurnReport &Report);

/// Request counts of one account and service in a ring buffer of buckets.
struct BurnSeries {
  struct Bucket {
    /// Index of the bucket, counted from the epoch of the clock; -1 if unused.
    std::int64_t Index_ = -1;
    OutcomeCounts Counts_;
  };
  std::vector<Bucket> Buckets_;
  Objective Objective_;
};

/// Adds one request to \p Series. A request that is older than the newest one
/// is counted in the bucket of its time if the ring buffer still holds that
/// bucket, and otherwise dropped.
void addRequest(BurnSeries &Series, const BurnWindows &Windows,
                RequestOutcome Outcome, core::Duration Latency,
                core::TimePoint Now);

/// Returns the burn rate over the \p Window that ends at \p Now.
WindowBurnRate computeBurnRate(const BurnSeries &Series,
                               const BurnWindows &Windows,
                               core::Duration Window, core::TimePoint Now);

/// Measures the burn rate of each client account and service. Thread-safe; the
/// lock is held only while counters are updated or read.
class BurnMeter {
public:
  /// Maximum number of series, each of about 4 KB with the default windows.
  /// Requests of further accounts are counted under the account and service
  /// "(other)", because account names come from callers and must not exhaust
  /// memory.
  static constexpr std::size_t MaxSeries = 1024;

  explicit BurnMeter(Objective Default, BurnWindows Windows = BurnWindows());

  /// Sets the objective of one account and service. Requests already counted as
  /// slow or not slow by the previous objective are not reclassified.
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
