#pragma once

#include "archive.h"
#include "compactsteps.h"
#include "nutmegwell/cell/peers.h"
#include "nutmegwell/jobs/records.h"
#include <algorithm>
#include <cereal/types/optional.hpp>
#include <limits>

/// Field order of the encoded structs of a cell's records and messages. The
/// order is part of the binary format.
namespace nutmegwell::wire {

/// Serializes an enumeration as one byte. Throws std::runtime_error for values
/// above \p Last.
template <class A, class Enum>
void serializeEnum(A &Fields, Enum &Value, Enum Last) {
  auto Byte = static_cast<std::uint8_t>(Value);
  Fields(Byte);
  if (Byte > static_cast<std::uint8_t>(Last))
    throw std::runtime_error("the value of an enumeration is out of range");
  Value = static_cast<Enum>(Byte);
}

} // namespace nutmegwell::wire

namespace nutmegwell::jobs {

template <class A> void serialize(A &Fields, Resources &V) {
  Fields(V.Cpu_, V.MemoryMb_, V.Accelerators_);
}

template <class A> void serialize(A &Fields, StepSpec &V) {
  Fields(V.Count_, V.PerTask_, V.Estimate_, V.DependsOn_, V.Checkpoints_,
         V.Gang_, V.SameRack_, V.RequiredLabel_, V.DataRack_, V.SpreadLimit_,
         V.Speculative_, V.LongRunning_, V.Image_, V.TargetLatency_,
         V.BestEffort_, V.MaxUnavailable_);
}

/// Encodes a number in four bytes, as the versions do that know only such
/// numbers. The largest one announces eight further bytes.
template <class A> void serializeLong(A &Fields, std::uint64_t &V) {
  constexpr auto Long = std::numeric_limits<std::uint32_t>::max();
  auto Short = static_cast<std::uint32_t>(std::min<std::uint64_t>(V, Long));
  Fields(Short);
  if (Short == Long)
    Fields(V);
  else
    V = Short;
}

template <class A> void serialize(A &Fields, JobSpec &V) {
  Fields(V.Command_, V.Steps_);
  serializeLong(Fields, V.Repetitions_);
  Fields(V.FirstDue_, V.Interval_);
}

template <class A> void serialize(A &Fields, TaskId &V) {
  Fields(V.Job_);
  serializeLong(Fields, V.Occurrence_);
  Fields(V.Step_, V.Index_);
}

template <class A> void serialize(A &Fields, TaskProgress &V) {
  Fields(V.Done_, V.Failures_, V.FailedRun_, V.Checkpoint_);
}

template <class A> void serialize(A &Fields, RecordedStep &V) {
  Fields(V.Tasks_);
}

template <class A> void serialize(A &Fields, RecordedProgress &V) {
  wire::serializeEnum(Fields, V.State_, JobState::Cancelled);
  Fields(V.Occurrences_);
}

template <class A> void serialize(A &Fields, JobAccepted &V) {
  Fields(V.Job_, V.Queue_, V.Service_, V.Account_, V.Priority_, V.MaxAttempts_,
         V.Submitted_, V.Spec_);
}

template <class A> void serialize(A &Fields, LargeJobAccepted &V) {
  JobAccepted &Job = V.Job_;
  Fields(Job.Job_, Job.Queue_, Job.Service_, Job.Account_, Job.Priority_,
         Job.MaxAttempts_, Job.Submitted_, Job.Spec_.Command_,
         Job.Spec_.Repetitions_, Job.Spec_.FirstDue_, Job.Spec_.Interval_);
  wire::serializeSteps(Fields, Job.Spec_.Steps_);
}

template <class A> void serialize(A &Fields, JobCancelled &V) {
  Fields(V.Job_);
}

template <class A> void serialize(A &Fields, JobProgressed &V) {
  Fields(V.Job_, V.Progress_);
}

template <class A> void serialize(A &Fields, FailuresCounted &V) {
  Fields(V.Job_, V.Occurrence_, V.Step_, V.Runs_);
}

template <class A> void serialize(A &Fields, NumberRange &V) {
  Fields(V.First_, V.End_);
}

template <class A> void serialize(A &Fields, DoneSteps &V) {
  Fields(V.Steps_, V.Occurrences_);
}

template <class A> void serialize(A &Fields, ProgressSummarized &V) {
  Fields(V.Job_);
  wire::serializeEnum(Fields, V.State_, JobState::Cancelled);
  Fields(V.DoneSteps_);
}

template <class A> void serialize(A &Fields, PartsDone &V) {
  Fields(V.Job_, V.Occurrence_, V.Step_, V.Parts_);
}

template <class A> void serialize(A &Fields, RecordedTask &V) {
  Fields(V.Index_, V.Progress_, V.EarlierFailedRuns_);
}

template <class A> void serialize(A &Fields, TasksProgressed &V) {
  Fields(V.Job_, V.Occurrence_, V.Step_, V.Part_, V.Done_, V.Tasks_);
}

template <class A> void serialize(A &Fields, RecordRemoved &V) {
  Fields(V.Key_);
}

template <class A> void serialize(A &Fields, CellClaimed &V) {
  Fields(V.Host_, V.HolderIncarnation_, V.Held_);
}

template <class A> void serialize(A &Fields, TenureSettled &V) {
  Fields(V.Term_);
}

template <class A> void serialize(A &Fields, WorkerListed &V) {
  Fields(V.Host_, V.FailureDomain_, V.Listed_, V.Closed_, V.Tasks_);
}

template <class A> void serialize(A &Fields, EntryHostListed &V) {
  Fields(V.Host_, V.Address_);
}

template <class A> void serialize(A &Fields, LearnedSpeed &V) {
  Fields(V.Host_, V.WorkerIncarnation_, V.Speed_, V.LogError_);
}

template <class A> void serialize(A &Fields, LearnedSpeeds &V) {
  Fields(V.Number_, V.Workers_);
}

} // namespace nutmegwell::jobs

namespace nutmegwell::store {

template <class A> void serialize(A &Fields, KeyedRecord &V) {
  Fields(V.Offset_, V.Key_, V.Value_);
}

template <class A> void serialize(A &Fields, AppendRequest &V) {
  Fields(V.Producer_, V.Epoch_, V.Sequence_, V.Records_);
}

template <class A> void serialize(A &Fields, AppendOutcome &V) {
  wire::serializeEnum(Fields, V.Status_, AppendStatus::Rejected);
  Fields(V.FirstOffset_, V.ExpectedSequence_, V.Reason_);
}

} // namespace nutmegwell::store

namespace nutmegwell::cell {

template <class A> void serialize(A &Fields, RunId &V) {
  Fields(V.Task_, V.Run_);
}

template <class A> void serialize(A &Fields, WorkerInfo &V) {
  Fields(V.Id_, V.WorkerIncarnation_, V.Service_, V.FailureDomain_, V.Draining_,
         V.DrainRemaining_, V.Capacity_, V.Labels_, V.Rack_);
}

template <class A> void serialize(A &Fields, RunningTask &V) {
  Fields(V.Id_, V.Checkpoint_, V.Percent_, V.Usage_);
}

template <class A> void serialize(A &Fields, EndedTask &V) {
  Fields(V.Number_, V.Id_);
  wire::serializeEnum(Fields, V.Kind_, EndKind::GangIncomplete);
  Fields(V.Checkpoint_);
}

template <class A> void serialize(A &Fields, RefusedStart &V) {
  Fields(V.Id_);
  wire::serializeEnum(Fields, V.Kind_, RefusalKind::OtherIncarnation);
}

/// Encodes two conditions in the byte that versions without EndsComplete_ read
/// as WorkerReachable_: any value but 0 means reachable to them.
template <class A> void serializeListing(A &Fields, AgentReport &V) {
  constexpr std::uint8_t Reachable = 1;
  constexpr std::uint8_t EndsIncomplete = 2;
  std::uint8_t Byte = 0;
  if (V.WorkerReachable_)
    Byte = V.EndsComplete_ ? Reachable : Reachable | EndsIncomplete;
  Fields(Byte);
  V.WorkerReachable_ = Byte != 0;
  V.EndsComplete_ = (Byte & EndsIncomplete) == 0;
}

template <class A> void serialize(A &Fields, AgentReport &V) {
  Fields(V.Host_, V.AgentIncarnation_, V.Sequence_, V.Term_, V.Worker_);
  serializeListing(Fields, V);
  Fields(V.ProcessedOrders_, V.Running_, V.Ended_, V.Pending_, V.Refused_);
}

template <class A> void serialize(A &Fields, StartOrder &V) {
  Fields(V.Id_, V.Command_, V.Checkpoint_, V.Ticket_);
}

template <class A> void serialize(A &Fields, PaceOrder &V) {
  Fields(V.Id_, V.Percent_);
}

template <class A> void serialize(A &Fields, HolderOrders &V) {
  Fields(V.Term_, V.Sequence_, V.ReportSequence_, V.GrantsLease_,
         V.WorkerIncarnation_, V.AcknowledgedUpTo_, V.Starts_, V.Stops_,
         V.Paces_);
}

template <class A> void serialize(A &Fields, EntryHeartbeat &V) {
  Fields(V.Host_, V.Address_, V.Incarnation_, V.Sequence_,
         V.AcknowledgedSequence_, V.Stopping_, V.Term_, V.IsHolder_,
         V.HolderContactAge_, V.OperatorNextOffset_, V.CellNextOffset_,
         V.StoreReadAge_, V.Hosts_, V.EmptyWorkers_);
}

template <class A> void serialize(A &Fields, RecordsRequest &V) {
  wire::serializeEnum(Fields, V.Stream_, store::Stream::Cell);
  Fields(V.From_);
}

template <class A> void serialize(A &Fields, RelayedRecords &V) {
  wire::serializeEnum(Fields, V.Stream_, store::Stream::Cell);
  Fields(V.From_, V.NextOffset_, V.Records_);
}

template <class A> void serialize(A &Fields, ForwardedAppendRequest &V) {
  Fields(V.Id_, V.Request_);
}

template <class A> void serialize(A &Fields, ForwardedAppendResponse &V) {
  Fields(V.Id_, V.Outcome_);
}

template <class A> void serialize(A &Fields, EntryInfo &V) {
  Fields(V.Hosts_, V.HolderAddress_, V.Term_);
}

template <class A> void serialize(A &Fields, QueueLoad &V) {
  Fields(V.Queue_, V.Priority_, V.Waiting_, V.Late_, V.Expired_, V.Running_);
}

template <class A> void serialize(A &Fields, CellLoad &V) {
  Fields(V.Service_, V.Queues_, V.Accelerators_, V.Capacity_, V.Free_);
}

template <class A> void serialize(A &Fields, LoadReport &V) {
  Fields(V.Host_, V.Term_, V.Overloaded_, V.Services_);
}

} // namespace nutmegwell::cell
