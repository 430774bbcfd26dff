// Load reports between the holder and the other entry hosts.

#include "entrysteps.h"

namespace nutmegwell::site {

namespace {

/// Logs a change between overload and none, with the totals of all services.
void logChange(const EntryState &State, const cell::LoadReport &Report,
               EntryEffects &Out) {
  const bool Before = State.Load_.Report_ && State.Load_.Report_->Overloaded_;
  if (Before == Report.Overloaded_)
    return;
  double Waiting = 0;
  double Running = 0;
  double Accelerators = 0;
  for (const cell::CellLoad &Load : Report.Services_) {
    Accelerators += Load.Accelerators_;
    for (const cell::QueueLoad &Queue : Load.Queues_) {
      Waiting += Queue.Waiting_;
      Running += Queue.Running_;
    }
  }
  Out.LogEvents_.push_back({"load_reported",
                            {{"host", Report.Host_},
                             {"term", std::to_string(Report.Term_)},
                             {"overloaded", Report.Overloaded_ ? "1" : "0"},
                             {"waiting", std::to_string(Waiting)},
                             {"running", std::to_string(Running)},
                             {"accelerators", std::to_string(Accelerators)}}});
}

void keepReport(EntryState &State, cell::LoadReport Report, core::TimePoint Now,
                EntryEffects &Out) {
  logChange(State, Report, Out);
  State.Load_.Report_ = std::move(Report);
  State.Load_.ReceivedAt_ = Now;
}

/// Returns why a report is not to be used, or an empty string.
std::string faultOf(const EntryState &State, const cell::LoadReport &Report) {
  if (!cell::isValid(Report))
    return "a number is out of range";
  if (Report.Term_ == State.View_.Term_ &&
      Report.Host_ != State.View_.Claim_.Host_)
    return "the sender does not hold the cell";
  return {};
}

} // namespace

void reportLoad(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                EntryEffects &Out) {
  if (!State.Settings_.Policy_.LoadAdmission_.Enabled_ || !State.Holder_ ||
      State.Holder_->Term_ != State.View_.Term_ || Now < State.NextHeartbeatAt_)
    return;
  cell::LoadReport Report = cell::makeLoadReport(
      State.Settings_.Host_, *State.Holder_, holderContext(State, Now, Wall));
  if (Report.Overloaded_ || State.Load_.OverloadSentIn_ == Report.Term_)
    for (const auto &[Host, Other] : State.Peers_)
      if (isReachable(State, Other, Now))
        Out.SendsTo_.emplace_back(Other.Address_, Report);
  State.Load_.OverloadSentIn_ = Report.Overloaded_ ? Report.Term_ : 0;
  keepReport(State, std::move(Report), Now, Out);
}

void onLoadReport(EntryState &State, const cell::LoadReport &Report,
                  core::TimePoint Now, EntryEffects &Out) {
  const LoadAdmissionPolicy &Policy = State.Settings_.Policy_.LoadAdmission_;
  if (!Policy.Enabled_ || Report.Term_ < State.View_.Term_)
    return;
  const std::string Fault = faultOf(State, Report);
  if (!Fault.empty()) {
    Out.LogEvents_.push_back(
        {"load_report_invalid", {{"host", Report.Host_}, {"reason", Fault}}});
    return;
  }
  // A report of a term that is not heard of again does not exclude others for
  // longer than it is used.
  const std::optional<cell::LoadReport> &Kept = State.Load_.Report_;
  if (Kept && Kept->Term_ > Report.Term_ &&
      Now - State.Load_.ReceivedAt_ <= Policy.MaxReportAge_)
    return;
  keepReport(State, Report, Now, Out);
}

const cell::CellLoad *reportedLoad(const EntryState &State,
                                   const std::string &Service) {
  const std::optional<cell::LoadReport> &Report = State.Load_.Report_;
  if (!Report || !Report->Overloaded_ || Report->Term_ < State.View_.Term_)
    return nullptr;
  for (const cell::CellLoad &Load : Report->Services_)
    if (Load.Service_ == Service)
      return &Load;
  return nullptr;
}

} // namespace nutmegwell::site
