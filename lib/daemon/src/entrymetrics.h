#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/entry/control.h"
#include "nutmegwell/entry/requestservice.h"
#include "nutmegwell/metrics/burn.h"
#include "nutmegwell/metrics/registry.h"

namespace nutmegwell::daemon {

/// Metrics of an entry host: counters, latencies and error budget burn rates.
class EntryMetrics {
public:
  EntryMetrics(core::Clock Clock, metrics::Objective Default);

  void recordRequest(const entry::CompletedRequest &Request);
  void recordLogEvent(const entry::LogEvent &Event);
  void recordStepTime(core::Duration Elapsed);

  /// Return the response bodies of GET /metrics and GET /v1/burn.
  std::string render() const;
  std::string burn() const;

  metrics::Counter &SentDatagrams_;
  metrics::Counter &ReceivedDatagrams_;
  metrics::Counter &MalformedDatagrams_;
  metrics::Counter &DroppedEvents_;
  metrics::Counter &Appends_;
  metrics::Counter &FailedAppends_;

private:
  EntryMetrics(core::Clock Clock, metrics::Objective Default,
               std::unique_ptr<metrics::Registry> Registry);

  const core::Clock Clock_;
  std::unique_ptr<metrics::Registry> Registry_;
  metrics::Quantiles &StepTimes_;
  metrics::BurnMeter Burn_;
};

} // namespace nutmegwell::daemon
