#include "entrymetrics.h"

namespace nutmegwell::daemon {

namespace {

metrics::RequestOutcome metricsOutcome(routing::Outcome Value) {
  switch (Value) {
  case routing::Outcome::Answered:
    return metrics::RequestOutcome::Answered;
  case routing::Outcome::NotRun:
    return metrics::RequestOutcome::Refused;
  case routing::Outcome::Unknown:
    break;
  }
  return metrics::RequestOutcome::Unknown;
}

const char *outcomeLabel(routing::Outcome Value) {
  switch (Value) {
  case routing::Outcome::Answered:
    return "answered";
  case routing::Outcome::NotRun:
    return "not_run";
  case routing::Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

EntryMetrics::EntryMetrics(core::Clock Clock, metrics::Objective Default)
    : EntryMetrics(std::move(Clock), Default,
                   std::make_unique<metrics::Registry>()) {}

EntryMetrics::EntryMetrics(core::Clock Clock, metrics::Objective Default,
                           std::unique_ptr<metrics::Registry> Registry)
    : SentDatagrams_(Registry->counter("nutmegwell_datagrams_sent_total",
                                       "Datagrams to agents and entry hosts")),
      ReceivedDatagrams_(
          Registry->counter("nutmegwell_datagrams_received_total",
                            "Well-formed datagrams received")),
      MalformedDatagrams_(
          Registry->counter("nutmegwell_datagrams_malformed_total",
                            "Datagrams dropped as malformed")),
      DroppedEvents_(
          Registry->counter("nutmegwell_control_events_lost_total",
                            "Events dropped by a full control queue")),
      Appends_(Registry->counter("nutmegwell_records_appended_total",
                                 "Records handed to the appender")),
      FailedAppends_(Registry->counter("nutmegwell_records_failed_total",
                                       "Records refused or in doubt")),
      Clock_(std::move(Clock)), Registry_(std::move(Registry)),
      StepTimes_(
          Registry_->quantiles("nutmegwell_control_step_seconds",
                               "Time of one step of the control thread")),
      Burn_(Default) {}

void EntryMetrics::recordRequest(const entry::CompletedRequest &Request) {
  Registry_
      ->counter("nutmegwell_requests_total", "Requests by outcome and code",
                {{"service", Request.Service_},
                 {"outcome", outcomeLabel(Request.Outcome_)},
                 {"code", Request.Code_}})
      .add();
  Registry_
      ->quantiles("nutmegwell_request_seconds", "Time to answer a request",
                  {{"service", Request.Service_}})
      .observe(Request.Latency_, Clock_.Now_());
  // A client account without a pool has no service level objective, so refusals
  // of its requests must not raise an alert.
  if (!Request.Service_.empty() && Request.Code_ != "account_unknown" &&
      Request.Code_ != "account_missing")
    Burn_.record(Request.Account_, Request.Service_,
                 metricsOutcome(Request.Outcome_), Request.Latency_,
                 Clock_.Now_());
}

void EntryMetrics::recordLogEvent(const entry::LogEvent &Event) {
  Registry_
      ->counter("nutmegwell_state_changes_total", "Changes of state by event",
                {{"event", Event.Event_}})
      .add();
}

void EntryMetrics::recordStepTime(core::Duration Elapsed) {
  StepTimes_.observe(Elapsed, Clock_.Now_());
}

std::string EntryMetrics::render() const {
  return Registry_->render(Clock_.Now_());
}

std::string EntryMetrics::burn() const {
  return metrics::formatBurn(Burn_.report(Clock_.Now_()));
}

} // namespace nutmegwell::daemon
