// The part of the agent that decides whether an announced process is its
// worker.

#include "agentsteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Returns whether \p Info is of the process that the candidate stands for.
bool isSameProcess(const AgentState::Candidate &Candidate,
                   const cell::WorkerInfo &Info) {
  const cell::WorkerInfo &Known = Candidate.Announcement_.Info_;
  return Known.Id_ == Info.Id_ &&
         Known.WorkerIncarnation_ == Info.WorkerIncarnation_;
}

/// Returns why the process that has sent \p Response is not the candidate, or
/// an empty string. Every process with another id refuses the call as meant for
/// another one, so that any other refusal confirms the id; such a response need
/// not contain the incarnation.
std::string mismatch(const AgentState::Candidate &Candidate,
                     const WorkerResponse &Response) {
  if (Response.Refusal_ == cell::RefusalKind::OtherIncarnation)
    return "the process at the worker's address has another id";
  if (Response.WorkerIncarnation_ != 0 &&
      Response.WorkerIncarnation_ !=
          Candidate.Announcement_.Info_.WorkerIncarnation_)
    return "the process at the worker's address began at " +
           std::to_string(Response.WorkerIncarnation_);
  return "";
}

} // namespace

void rejectAnnouncement(AgentState &State,
                        const WorkerAnnouncement &Announcement,
                        const std::string &Reason, AgentEffects &Out) {
  const cell::WorkerInfo &Info = Announcement.Info_;
  std::pair<std::string, std::int64_t> Process{Info.Id_,
                                               Info.WorkerIncarnation_};
  if (State.Rejected_ == Process)
    return;
  State.Rejected_ = std::move(Process);
  Out.LogEvents_.push_back({"announcement_rejected",
                            {{"worker", Info.Id_},
                             {"born", std::to_string(Info.WorkerIncarnation_)},
                             {"service", Info.Service_},
                             {"reason", Reason}}});
}

void addCandidate(AgentState &State, const WorkerAnnouncement &Announcement,
                  core::TimePoint Now) {
  auto It = std::find_if(State.Candidates_.begin(), State.Candidates_.end(),
                         [&](const AgentState::Candidate &Candidate) {
                           return isSameProcess(Candidate, Announcement.Info_);
                         });
  if (It == State.Candidates_.end()) {
    if (State.Candidates_.size() >= State.Settings_.Policy_.MaxCandidates_)
      return;
    State.Candidates_.push_back({Announcement, Now, 0, Now});
  } else if (Announcement.Sequence_ > It->Announcement_.Sequence_) {
    It->Announcement_ = Announcement;
    It->ReceivedAt_ = Now;
  }
}

void verifyCandidates(AgentState &State, core::TimePoint Now,
                      AgentEffects &Out) {
  const AgentPolicy &Policy = State.Settings_.Policy_;
  auto &Candidates = State.Candidates_;
  Candidates.erase(
      std::remove_if(
          Candidates.begin(), Candidates.end(),
          [&](const AgentState::Candidate &Candidate) {
            return Now - Candidate.ReceivedAt_ > Policy.CandidateLifetime_ ||
                   !maySucceedWorker(State, Candidate.Announcement_.Info_);
          }),
      Candidates.end());
  for (AgentState::Candidate &Candidate : Candidates) {
    // A reset connection fails at once; the pause keeps the calls apart.
    if (Now >= Candidate.NextCallAt_) {
      Candidate.NextCallAt_ = Now + Policy.OrderTimeout_;
      Candidate.Call_ =
          callProcess(State, Candidate.Announcement_.Info_.Id_,
                      IdentityCall{State.Term_}, Policy.OrderTimeout_, Out);
    }
    Out.WakeAt_ = std::min(Out.WakeAt_, Candidate.NextCallAt_);
  }
}

void onIdentityResponse(AgentState &State, const WorkerCall &Call,
                        const WorkerResponse &Response, AgentEffects &Out) {
  auto It = std::find_if(State.Candidates_.begin(), State.Candidates_.end(),
                         [&](const AgentState::Candidate &Candidate) {
                           return Candidate.Call_ == Call.Id_;
                         });
  if (It == State.Candidates_.end() || !Response.Answered_)
    return;
  // The id may be that of an earlier process whose announcement was delayed. A
  // later start rules that out, but a host's time of day can be set back.
  if (Response.WorkerIncarnation_ == 0 &&
      Response.Refusal_ != cell::RefusalKind::OtherIncarnation &&
      !beganLater(State, It->Announcement_.Info_))
    return;
  const AgentState::Candidate Candidate = std::move(*It);
  State.Candidates_.erase(It);
  const std::string Reason = mismatch(Candidate, Response);
  if (!Reason.empty())
    return rejectAnnouncement(State, Candidate.Announcement_, Reason, Out);
  if (maySucceedWorker(State, Candidate.Announcement_.Info_))
    adoptWorker(State, Candidate.Announcement_, Candidate.ReceivedAt_, Out);
}

} // namespace nutmegwell::site
