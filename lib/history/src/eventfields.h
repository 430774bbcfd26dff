#pragma once

#include "nutmegwell/history/event.h"

namespace nutmegwell::history {

/// Names of the event kinds in history files, in the order of the alternatives
/// of EventBody.
constexpr const char *EventNames[] = {
    "call_invoked",       "call_answered",       "call_refused",
    "call_unknown",       "execution_begun",     "execution_ended",
    "upstream_leaving",   "upstream_returned",   "stop_begun",
    "stop_ended",         "attempt_committed",   "attempt_ended",
    "task_started",       "task_stopped",        "permit_granted",
    "permit_revoked",     "domain_out",          "domain_in",
    "config_accepted",    "config_observed",     "guarantee_requested",
    "guarantee_obtained", "guarantee_withdrawn", "guarantee_blocked",
    "job_submitted",      "job_accepted",        "job_refused",
    "job_cancel_sent",    "job_cancelled",       "job_shown",
    "step_declared",      "step_needs",          "worker_born",
    "worker_lapsed",      "worker_drain_noted",  "run_started",
    "run_ended",          "run_end_noted",       "tenure_begun"};
static_assert(sizeof(EventNames) / sizeof(*EventNames) ==
                  std::variant_size_v<EventBody>,
              "each kind of event needs a name");

// The overloads of visitFields call Visit(name, member) for each member of an
// event, with the name that the member has in history files.

template <typename V> void visitFields(V &Visit, CallInvoked &E) {
  Visit("call", E.Call_);
  Visit("work", E.Work_);
  Visit("entry", E.Entry_);
  Visit("idempotent", E.Idempotent_);
}

template <typename V> void visitFields(V &Visit, CallAnswered &E) {
  Visit("call", E.Call_);
  Visit("digest", E.Digest_);
}

template <typename V> void visitFields(V &Visit, CallRefused &E) {
  Visit("call", E.Call_);
  Visit("code", E.Code_);
}

template <typename V> void visitFields(V &Visit, CallUnknown &E) {
  Visit("call", E.Call_);
  Visit("code", E.Code_);
  Visit("connection_lost", E.ConnectionLost_);
}

template <typename V> void visitFields(V &Visit, ExecutionBegun &E) {
  Visit("call", E.Call_);
  Visit("work", E.Work_);
  Visit("upstream", E.Upstream_);
  Visit("digest", E.Digest_);
}

template <typename V> void visitFields(V &Visit, ExecutionEnded &E) {
  Visit("call", E.Call_);
  Visit("upstream", E.Upstream_);
}

template <typename V> void visitFields(V &Visit, UpstreamLeaving &E) {
  Visit("upstream", E.Upstream_);
}

template <typename V> void visitFields(V &Visit, UpstreamReturned &E) {
  Visit("upstream", E.Upstream_);
}

template <typename V> void visitFields(V &, StopBegun &) {}

template <typename V> void visitFields(V &Visit, StopEnded &E) {
  Visit("cut", E.Cut_);
}

template <typename V> void visitFields(V &Visit, AttemptCommitted &E) {
  Visit("job", E.Job_);
  Visit("attempt", E.Attempt_);
  Visit("tasks", E.Tasks_);
}

template <typename V> void visitFields(V &Visit, AttemptEnded &E) {
  Visit("job", E.Job_);
  Visit("attempt", E.Attempt_);
}

template <typename V> void visitFields(V &Visit, TaskStarted &E) {
  Visit("job", E.Job_);
  Visit("attempt", E.Attempt_);
  Visit("task", E.Task_);
  Visit("worker", E.Worker_);
  Visit("domain", E.Domain_);
}

template <typename V> void visitFields(V &Visit, TaskStopped &E) {
  Visit("job", E.Job_);
  Visit("attempt", E.Attempt_);
  Visit("task", E.Task_);
  Visit("done", E.Done_);
}

template <typename V> void visitFields(V &Visit, PermitGranted &E) {
  Visit("worker", E.Worker_);
}

template <typename V> void visitFields(V &Visit, PermitRevoked &E) {
  Visit("worker", E.Worker_);
}

template <typename V> void visitFields(V &Visit, DomainOut &E) {
  Visit("domain", E.Domain_);
}

template <typename V> void visitFields(V &Visit, DomainIn &E) {
  Visit("domain", E.Domain_);
}

template <typename V> void visitFields(V &Visit, ConfigAccepted &E) {
  Visit("item", E.Item_);
  Visit("version", E.Version_);
  Visit("digest", E.Digest_);
}

template <typename V> void visitFields(V &Visit, ConfigObserved &E) {
  Visit("item", E.Item_);
  Visit("version", E.Version_);
  Visit("digest", E.Digest_);
}

template <typename V> void visitFields(V &Visit, GuaranteeShape &E) {
  Visit("accelerators", E.Accelerators_);
  Visit("block", E.Block_);
  Visit("level", E.Level_);
}

template <typename V> void visitFields(V &Visit, GuaranteeRequested &E) {
  Visit("claim", E.Claim_);
  Visit("domain", E.Domain_);
  visitFields(Visit, E.Shape_);
}

template <typename V> void visitFields(V &Visit, GuaranteeObtained &E) {
  Visit("claim", E.Claim_);
  visitFields(Visit, E.Shape_);
}

template <typename V> void visitFields(V &Visit, GuaranteeWithdrawn &E) {
  Visit("claim", E.Claim_);
}

template <typename V> void visitFields(V &Visit, GuaranteeBlocked &E) {
  Visit("claim", E.Claim_);
  Visit("job", E.Job_);
  Visit("attempt", E.Attempt_);
}

template <typename V> void visitFields(V &Visit, JobSubmitted &E) {
  Visit("job", E.Job_);
  Visit("entry", E.Entry_);
}

template <typename V> void visitFields(V &Visit, JobAccepted &E) {
  Visit("job", E.Job_);
}

template <typename V> void visitFields(V &Visit, JobRefused &E) {
  Visit("job", E.Job_);
}

template <typename V> void visitFields(V &Visit, JobCancelSent &E) {
  Visit("job", E.Job_);
}

template <typename V> void visitFields(V &Visit, JobCancelled &E) {
  Visit("job", E.Job_);
}

template <typename V> void visitFields(V &Visit, JobShown &E) {
  Visit("job", E.Job_);
  Visit("state", E.State_);
}

template <typename V> void visitFields(V &Visit, StepDeclared &E) {
  Visit("job", E.Job_);
  Visit("step", E.Step_);
  Visit("tasks", E.Tasks_);
  Visit("attempts", E.Attempts_);
  Visit("speculative", E.Speculative_);
}

template <typename V> void visitFields(V &Visit, StepNeeds &E) {
  Visit("job", E.Job_);
  Visit("step", E.Step_);
  Visit("needed", E.Needed_);
}

template <typename V> void visitFields(V &Visit, WorkerBorn &E) {
  Visit("worker", E.Worker_);
  Visit("accelerators", E.Accelerators_);
}

template <typename V> void visitFields(V &Visit, WorkerLapsed &E) {
  Visit("worker", E.Worker_);
}

template <typename V> void visitFields(V &Visit, WorkerDrainNoted &E) {
  Visit("worker", E.Worker_);
}

template <typename V> void visitFields(V &Visit, SiteRun &E) {
  Visit("job", E.Job_);
  Visit("step", E.Step_);
  Visit("task", E.Task_);
  Visit("run", E.Run_);
}

template <typename V> void visitFields(V &Visit, RunStarted &E) {
  visitFields(Visit, E.Id_);
  Visit("worker", E.Worker_);
  Visit("domain", E.Domain_);
  Visit("accelerators", E.Accelerators_);
  Visit("term", E.Term_);
  Visit("late", E.Late_);
}

template <typename V> void visitFields(V &Visit, RunEnded &E) {
  visitFields(Visit, E.Id_);
  Visit("worker", E.Worker_);
  Visit("how", E.How_);
}

template <typename V> void visitFields(V &Visit, RunEndNoted &E) {
  visitFields(Visit, E.Id_);
  Visit("worker", E.Worker_);
}

template <typename V> void visitFields(V &Visit, TenureBegun &E) {
  Visit("term", E.Term_);
}

} // namespace nutmegwell::history
