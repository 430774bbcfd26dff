#include "entrymetrics.h"

namespace nutmegwell::daemon {

namespace {

metrics::RequestOutcome convert(routing::Outcome Value) {
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

const char *nameOf(routing::Outcome Value) {
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
                           std::unique_ptr<metrics::Registry> All)
    : SentDatagrams_(All->counter("nutmegwell_datagrams_sent_total",
                                  "Datagrams to agents and entry hosts")),
      ReceivedDatagrams_(All->counter("nutmegwell_datagrams_received_total",
                                      "Well-formed datagrams received")),
      BadDatagrams_(All->counter("nutmegwell_datagrams_malformed_total",
                                 "Datagrams dropped as malformed")),
      LostEvents_(All->counter("nutmegwell_control_events_lost_total",
                               "Events dropped by a full control queue")),
      Appends_(All->counter("nutmegwell_records_appended_total",
                            "Records handed to the appender")),
      FailedAppends_(All->counter("nutmegwell_records_failed_total",
                                  "Records refused or in doubt")),
      Clock_(std::move(Clock)), All_(std::move(All)),
      Steps_(All_->quantiles("nutmegwell_control_step_seconds",
                             "Time of one step of the control thread")),
      Burn_(Default) {}

void EntryMetrics::requestEnded(const entry::CompletedRequest &Record) {
  All_->counter("nutmegwell_requests_total", "Requests by outcome and code",
                {{"service", Record.Service_},
                 {"outcome", nameOf(Record.Outcome_)},
                 {"code", Record.Code_}})
      .add();
  All_->quantiles("nutmegwell_request_seconds", "Time to answer a request",
                  {{"service", Record.Service_}})
      .observe(Record.Latency_, Clock_.Now_());
  // A caller without a pool has no objective; its refusals must not alert.
  if (!Record.Service_.empty() && Record.Code_ != "account_unknown" &&
      Record.Code_ != "account_missing")
    Burn_.record(Record.Account_, Record.Service_, convert(Record.Outcome_),
                 Record.Latency_, Clock_.Now_());
}

void EntryMetrics::stateChanged(const entry::LogEvent &Change) {
  All_->counter("nutmegwell_state_changes_total", "Changes of state by event",
                {{"event", Change.Event_}})
      .add();
}

void EntryMetrics::stepped(core::Duration Took) {
  Steps_.observe(Took, Clock_.Now_());
}

std::string EntryMetrics::render() const { return All_->render(Clock_.Now_()); }

std::string EntryMetrics::burn() const {
  return metrics::formatBurn(Burn_.report(Clock_.Now_()));
}

} // namespace nutmegwell::daemon
