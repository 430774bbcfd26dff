#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

std::string toString(const StepId &Id) {
  return Id.Job_ + "." + std::to_string(Id.Occurrence_) + "." +
         std::to_string(Id.Step_);
}

namespace {

StepId stepIdOf(const Unit &Work) {
  return {Work.Job_->Accepted_.Job_, Work.Occurrence_, Work.Step_};
}

} // namespace

const Approval *approvalFor(const Holder &State, const Unit &Work,
                            const Worker &Host, core::TimePoint Now) {
  auto Step = State.Approvals_.find(stepIdOf(Work));
  if (Step == State.Approvals_.end())
    return nullptr;
  auto Known = Step->second.find(Host.Host_);
  if (Known == Step->second.end() || !Host.Info_ ||
      Known->second.WorkerIncarnation_ != Host.Info_->WorkerIncarnation_)
    return nullptr;
  // A denial holds for the worker's incarnation; a ticket must stay valid until
  // the start.
  if (!Known->second.Ticket_.empty() &&
      Known->second.ValidUntil_ <= Now + State.Policy_.StartPermit_)
    return nullptr;
  return &Known->second;
}

void requestApproval(Holder &State, const Unit &Work,
                     const std::vector<PlacementTarget> &Targets,
                     const HolderContext &Context, Effects &Out) {
  if (State.ApprovalInFlight_ || Context.Now_ < State.NextApprovalRequestAt_)
    return;
  const jobs::Queue *Queue = Context.Tables_.queue(Work.Job_->Accepted_.Queue_);
  if (!Queue || !Queue->Approval_)
    return;
  const jobs::StepSpec &Step = Work.spec();
  const jobs::Resources Each = requiredResources(Step);
  // Workers with enough free resources for the step come first, the fullest of
  // them first.
  std::vector<std::tuple<bool, std::int64_t, std::size_t>> Order;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const PlacementTarget &Target = Targets[I];
    const bool Labelled =
        Step.RequiredLabel_.empty() || Target.hasLabel(Step.RequiredLabel_);
    if (Labelled && Target.Capacity_.covers(Each) &&
        !approvalFor(State, Work, State.Workers_.at(Target.Host_),
                     Context.Now_))
      Order.emplace_back(!Target.Free_.covers(Each), Target.Free_.Accelerators_,
                         I);
  }
  if (Order.empty())
    return;
  std::sort(Order.begin(), Order.end());
  const ApprovalLimits &Limits = State.Policy_.Approval_;
  Order.resize(std::min(Order.size(), Limits.WorkersPerRequest_));
  ApprovalRequest Request;
  Request.Step_ = stepIdOf(Work);
  for (const auto &[Full, Free, I] : Order) {
    const Worker &Host = State.Workers_.at(Targets[I].Host_);
    Request.Workers_[Host.Host_] = {Host.Info_->Id_,
                                    Host.Info_->WorkerIncarnation_};
  }
  Request.Validity_ = Queue->Approval_->Validity_;
  Request.Timeout_ =
      Queue->Approval_->Decision_ +
      Queue->Approval_->PerWorker_ * static_cast<std::int64_t>(Order.size()) +
      Limits.Margin_;
  State.ApprovalInFlight_ = true;
  Out.LogEvents_.push_back({"approval_asked",
                            {{"step", toString(Request.Step_)},
                             {"workers", std::to_string(Order.size())}}});
  Out.ApprovalRequest_ = std::move(Request);
}

namespace {

bool hasEnded(const Holder &State, const StepId &Step,
              const HolderContext &Context) {
  auto Job = Context.View_.Jobs_.find(Step.Job_);
  if (Job == Context.View_.Jobs_.end() ||
      jobs::isFinal(Job->second.reportedState()))
    return true;
  auto Live = State.Jobs_.find(Step.Job_);
  return Live != State.Jobs_.end() &&
         Live->second.Progress_.stepDone(Step.Occurrence_, Step.Step_);
}

/// Removes the answers for steps that have ended, of which a scheduled job has
/// ever more.
void dropEndedSteps(Holder &State, const HolderContext &Context) {
  for (auto It = State.Approvals_.begin(); It != State.Approvals_.end();)
    It = hasEnded(State, It->first, Context) ? State.Approvals_.erase(It)
                                             : std::next(It);
}

} // namespace

void onApprovalResponse(Holder &State, const ApprovalRequest &Request,
                        const absl::StatusOr<ApprovalResponse> &Response,
                        const HolderContext &Context, Effects &Out) {
  State.ApprovalInFlight_ = false;
  dropEndedSteps(State, Context);
  if (!Response.ok()) {
    State.NextApprovalRequestAt_ =
        Context.Now_ + State.Policy_.Approval_.RetryBackoff_;
    Out.LogEvents_.push_back({"approval_missing",
                              {{"step", toString(Request.Step_)},
                               {"error", core::describe(Response.status())}}});
    return;
  }
  StepApprovals &Step = State.Approvals_[Request.Step_];
  for (const auto &[Host, Candidate] : Request.Workers_) {
    auto Ticket = Response->find(Candidate.Id_);
    // The validity began no later than the service wrote its answer; the
    // request's margin covers the time that the answer took to arrive.
    Step[Host] = {Ticket != Response->end() ? Ticket->second : std::string(),
                  Candidate.WorkerIncarnation_,
                  Context.Now_ + Request.Validity_ -
                      State.Policy_.Approval_.Margin_};
  }
  Out.LogEvents_.push_back({"approval_answered",
                            {{"step", toString(Request.Step_)},
                             {"asked", std::to_string(Request.Workers_.size())},
                             {"approved", std::to_string(Response->size())}}});
}

void removeApproval(Holder &State, const RunId &Id, const std::string &Host) {
  auto Step = State.Approvals_.find(
      {Id.Task_.Job_, Id.Task_.Occurrence_, Id.Task_.Step_});
  if (Step != State.Approvals_.end())
    Step->second.erase(Host);
}

} // namespace nutmegwell::cell
