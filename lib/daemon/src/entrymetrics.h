#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/entry/control.h"
#include "nutmegwell/entry/requestservice.h"
#include "nutmegwell/metrics/burn.h"
#include "nutmegwell/metrics/registry.h"

namespace nutmegwell::daemon {

/// What an entry host counts.
class EntryMetrics {
public:
  EntryMetrics(core::Clock Clock, metrics::Objective Default);

  void requestEnded(const entry::CompletedRequest &Record);
  void stateChanged(const entry::LogEvent &Change);
  void stepped(core::Duration Took);

  /// Return the texts of GET /metrics and GET /v1/burn.
  std::string render() const;
  std::string burn() const;

  metrics::Counter &SentDatagrams_;
  metrics::Counter &ReceivedDatagrams_;
  metrics::Counter &BadDatagrams_;
  metrics::Counter &LostEvents_;
  metrics::Counter &Appends_;
  metrics::Counter &FailedAppends_;

private:
  EntryMetrics(core::Clock Clock, metrics::Objective Default,
               std::unique_ptr<metrics::Registry> All);

  const core::Clock Clock_;
  std::unique_ptr<metrics::Registry> All_;
  metrics::Quantiles &Steps_;
  metrics::BurnMeter Burn_;
};

} // namespace nutmegwell::daemon
