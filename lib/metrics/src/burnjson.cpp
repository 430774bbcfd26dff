#include "nutmegwell/metrics/burn.h"
#include "nutmegwell/wire/json.h"

namespace nutmegwell::metrics {

namespace {

using cxxtools::SerializationInfo;

void addWindow(SerializationInfo &Out, const WindowBurnRate &Window) {
  Out.addValue("requests", Window.Counts_.Requests_);
  Out.addValue("refused", Window.Counts_.Refused_);
  Out.addValue("unknown", Window.Counts_.Unknown_);
  Out.addValue("slow", Window.Counts_.Slow_);
  Out.addValue("cancelled", Window.Counts_.Cancelled_);
  Out.addValue("error_rate", Window.ErrorRate_);
  Out.addValue("burn", Window.BurnRate_);
}

} // namespace

std::string formatBurn(const BurnReport &Report) {
  SerializationInfo Root;
  Root.addValue("short_ms",
                core::wholeMilliseconds(Report.Windows_.Short_).count());
  Root.addValue("long_ms",
                core::wholeMilliseconds(Report.Windows_.Long_).count());
  SerializationInfo &Rows = Root.addMember("rows");
  Rows.setCategory(SerializationInfo::Array);
  for (const BurnRow &Row : Report.Rows_) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("account", Row.Account_);
    Out.addValue("service", Row.Service_);
    Out.addValue("allowed_errors", Row.Objective_.AllowedErrors_);
    Out.addValue("latency_ms",
                 core::wholeMilliseconds(Row.Objective_.Latency_).count());
    addWindow(Out.addMember("short"), Row.Short_);
    addWindow(Out.addMember("long"), Row.Long_);
    Out.addValue("alert", Row.Alert_);
  }
  return wire::formatJson(Root);
}

} // namespace nutmegwell::metrics
