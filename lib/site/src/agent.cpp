#include "nutmegwell/site/agent.h"
#include "agentsteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Number of reports whose send time is kept. A lease granted in response to an
/// older report would have ended already.
constexpr std::size_t KeptReports = 64;

/// Returns the addresses of entry hosts to connect to, the holder's first.
std::vector<std::string> dialCandidates(const AgentState &State) {
  std::vector<std::string> Addresses;
  auto Add = [&](const std::string &Address) {
    if (!Address.empty() && std::find(Addresses.begin(), Addresses.end(),
                                      Address) == Addresses.end())
      Addresses.push_back(Address);
  };
  Add(State.HolderAddress_);
  for (const auto &[Host, Address] : State.Hosts_)
    Add(Address);
  for (const std::string &Address : State.Settings_.Seeds_)
    Add(Address);
  return Addresses;
}

void dial(AgentState &State, const std::string &Address, core::TimePoint Now,
          AgentEffects &Out) {
  State.LinkAddress_ = Address;
  State.LinkOpen_ = false;
  State.Link_ = 0;
  State.LinkLastReceivedAt_ = Now;
  State.NextDialAt_ = Now + State.Settings_.Policy_.DialTimeout_;
  Out.DialAddress_ = Address;
}

void dialNext(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  std::vector<std::string> Addresses = dialCandidates(State);
  // Try the other hosts before the one whose connection was just lost.
  if (Addresses.size() > 1)
    Addresses.erase(
        std::remove(Addresses.begin(), Addresses.end(), State.LinkAddress_),
        Addresses.end());
  if (Addresses.empty())
    return;
  dial(State, Addresses[State.NextCandidate_++ % Addresses.size()], Now, Out);
}

void onEntryInfo(AgentState &State, const cell::EntryInfo &Info,
                 core::TimePoint Now, AgentEffects &Out) {
  State.Hosts_ = Info.Hosts_;
  if (Info.Term_ < State.Term_ || Info.HolderAddress_.empty())
    return;
  State.HolderAddress_ = Info.HolderAddress_;
  if (Info.HolderAddress_ == State.LinkAddress_) {
    // A new holder can start nothing here before the first report.
    State.ReportNeeded_ |= Info.Term_ > State.Term_;
    return;
  }
  // Entry hosts may name a failed holder until they know its successor.
  if (Info.HolderAddress_ == State.UnreachableAddress_ &&
      Now < State.UnreachableUntil_)
    return;
  State.NextCandidate_ = 1;
  dial(State, Info.HolderAddress_, Now, Out);
}

/// Returns the term under which the lists of runs are complete. Without a
/// worker they are empty: once its process has ended, and no late start can
/// reach the next one, nothing runs there under the orders of earlier terms.
core::Term reportedTerm(const AgentState &State) {
  if (State.Worker_)
    return State.SyncedTerm_;
  const bool Ended = State.EndedIncarnation_ != 0;
  return Ended && State.LateStarts_.empty() ? State.Term_ : 0;
}

void sendReport(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  cell::AgentReport Report;
  Report.Host_ = State.Settings_.Host_;
  Report.AgentIncarnation_ = State.Settings_.Incarnation_;
  Report.Sequence_ = State.NextReportSequence_++;
  Report.Term_ = reportedTerm(State);
  Report.Worker_ = State.Worker_;
  // Counts down between announcements, for a holder that hears of the drain
  // late: after a lost link, or because it is new.
  if (Report.Worker_ && State.Departure_)
    Report.Worker_->DrainRemaining_ = cell::timeLeft(*State.Departure_, Now);
  Report.WorkerReachable_ = !State.WorkerUnreachable_;
  Report.ProcessedOrders_ = State.ProcessedOrders_;
  Report.Running_ = State.Running_;
  for (const cell::EndedTask &End : State.Ended_)
    if (End.Number_ > State.AcknowledgedUpTo_)
      Report.Ended_.push_back(End);
  Report.EndsComplete_ = State.EndsComplete_;
  for (const auto &[Id, Start] : State.Pending_)
    Report.Pending_.push_back(Id);
  Report.Refused_ = std::move(State.Refused_);
  State.Refused_.clear();
  State.ReportSentAt_[Report.Sequence_] = Now;
  if (State.ReportSentAt_.size() > KeptReports)
    State.ReportSentAt_.erase(State.ReportSentAt_.begin());
  State.ReportNeeded_ = false;
  State.NextReportAt_ = Now + State.Settings_.Policy_.ReportInterval_;
  Out.Sends_.push_back(std::move(Report));
}

void maintainLink(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  if (State.LinkOpen_ &&
      Now - State.LinkLastReceivedAt_ > State.Settings_.Policy_.EntryTimeout_) {
    Out.LogEvents_.push_back(
        {"entry_silent", {{"address", State.LinkAddress_}}});
    State.LinkOpen_ = false;
    State.NextDialAt_ = Now;
  }
  if (State.LinkOpen_) {
    Out.WakeAt_ =
        std::min(Out.WakeAt_, State.LinkLastReceivedAt_ +
                                  State.Settings_.Policy_.EntryTimeout_ +
                                  std::chrono::microseconds(1));
    return;
  }
  if (Now >= State.NextDialAt_)
    dialNext(State, Now, Out);
  Out.WakeAt_ = std::min(Out.WakeAt_, State.NextDialAt_);
}

} // namespace

AgentState makeAgentState(AgentSettings Settings, core::TimePoint Now) {
  AgentState State;
  State.Settings_ = std::move(Settings);
  State.NextDialAt_ = Now;
  return State;
}

void onEntryLinkOpened(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out) {
  State.Link_ = Link;
  State.LinkOpen_ = true;
  State.LinkLastReceivedAt_ = Now;
  State.ReportNeeded_ = true;
  Out.LogEvents_.push_back(
      {"entry_connected", {{"address", State.LinkAddress_}}});
}

void onEntryLinkClosed(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out) {
  if (State.LinkOpen_ && Link != State.Link_)
    return;
  if (State.LinkOpen_)
    Out.LogEvents_.push_back({"entry_lost", {{"address", State.LinkAddress_}}});
  if (!State.LinkOpen_) {
    State.UnreachableAddress_ = State.LinkAddress_;
    State.UnreachableUntil_ = Now + State.Settings_.Policy_.EntryTimeout_;
  }
  State.LinkOpen_ = false;
  State.Link_ = 0;
  State.NextDialAt_ = Now + State.Settings_.Policy_.DialBackoff_;
}

void onAgentMessage(AgentState &State, std::uint64_t Link,
                    const cell::PeerMessage &Message, core::TimePoint Now,
                    AgentEffects &Out) {
  if (!State.LinkOpen_ || Link != State.Link_)
    return;
  State.LinkLastReceivedAt_ = Now;
  if (const auto *Info = std::get_if<cell::EntryInfo>(&Message))
    onEntryInfo(State, *Info, Now, Out);
  else if (const auto *Orders = std::get_if<cell::HolderOrders>(&Message))
    applyOrders(State, *Orders, Now, Out);
}

void advanceAgent(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  maintainLink(State, Now, Out);
  fencePending(State, Now, Out);
  repeatStarts(State, Now, Out);
  detectWorkerEnd(State, Out);
  expireLateStarts(State, Now, Out);
  verifyCandidates(State, Now, Out);
  pollWorker(State, Now, Out);
  if (!State.LinkOpen_)
    return;
  if (State.ReportNeeded_ || Now >= State.NextReportAt_)
    sendReport(State, Now, Out);
  Out.WakeAt_ = std::min(Out.WakeAt_, State.NextReportAt_);
}

} // namespace nutmegwell::site
