#pragma once

#include "archive.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/model/records.h"

/// Field order of the encoded structs of the model. The order is part of the
/// binary format.
namespace nutmegwell::core {

template <class A, class Tag> void serialize(A &Fields, UniqueId<Tag> &V) {
  Fields(V.Writer_, V.Sequence_);
}

} // namespace nutmegwell::core

namespace nutmegwell::model {

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

template <class A> void serialize(A &Fields, RouteRow &V) {
  Fields(V.PathPrefix_, V.Service_, V.Timeout_, V.Idempotent_, V.QueueLimit_);
}

template <class A> void serialize(A &Fields, PoolRow &V) {
  Fields(V.Name_, V.Account_, V.Service_, V.Domain_, V.Guaranteed_,
         V.BlockSize_);
  serializeEnum(Fields, V.Level_, TopologyLevel::Domain);
  Fields(V.AcceleratorLimit_, V.RequestLimit_);
}

template <class A> void serialize(A &Fields, RoutesTable &V) {
  Fields(V.Rows_);
}

template <class A> void serialize(A &Fields, PoolsTable &V) { Fields(V.Rows_); }

template <class A> void serialize(A &Fields, JobSpec &V) {
  Fields(V.Account_, V.Service_, V.TaskCount_, V.AcceleratorsPerTask_);
  serializeEnum(Fields, V.Level_, TopologyLevel::Domain);
  serializeEnum(Fields, V.Class_, JobClass::Patient);
  Fields(V.DeclaredRunTime_, V.Command_);
}

template <class A> void serialize(A &Fields, TaskPlacement &V) {
  Fields(V.Worker_, V.Accelerators_);
}

template <class A> void serialize(A &Fields, Job &V) {
  Fields(V.Id_, V.Spec_);
  serializeEnum(Fields, V.State_, JobState::Failed);
  Fields(V.Attempt_, V.FailedAttempts_, V.Domain_, V.Placement_, V.Checkpoint_,
         V.Reason_, V.CancelRequested_);
}

template <class A> void serialize(A &Fields, RoutesPublished &V) {
  Fields(V.ExpectedVersion_, V.Table_);
}

template <class A> void serialize(A &Fields, PoolsPublished &V) {
  Fields(V.ExpectedVersion_, V.Table_);
}

template <class A> void serialize(A &Fields, DomainChanged &V) {
  Fields(V.ExpectedVersion_, V.Domain_, V.InService_);
}

template <class A> void serialize(A &Fields, CellClaimed &V) {
  Fields(V.Domain_, V.Term_, V.Holder_, V.HolderIncarnation_);
}

template <class A> void serialize(A &Fields, CellRenewed &V) {
  Fields(V.Domain_, V.Term_);
}

template <class A> void serialize(A &Fields, CellReleased &V) {
  Fields(V.Domain_, V.Term_);
}

template <class A> void serialize(A &Fields, JobSubmitted &V) {
  Fields(V.Job_, V.Spec_);
}

template <class A> void serialize(A &Fields, JobCancelled &V) {
  Fields(V.Job_);
}

template <class A> void serialize(A &Fields, JobCommitted &V) {
  Fields(V.Job_, V.Attempt_, V.Domain_, V.Term_, V.Placement_);
}

template <class A> void serialize(A &Fields, JobStopping &V) {
  Fields(V.Job_, V.Attempt_, V.Domain_, V.Term_, V.Reason_);
}

template <class A> void serialize(A &Fields, JobRequeued &V) {
  Fields(V.Job_, V.Attempt_, V.Domain_, V.Term_, V.Checkpoint_, V.Reason_,
         V.TaskFailed_);
}

template <class A> void serialize(A &Fields, JobFinished &V) {
  Fields(V.Job_, V.Attempt_, V.Domain_, V.Term_);
  serializeEnum(Fields, V.State_, JobState::Failed);
  Fields(V.Reason_);
}

template <class A> void serialize(A &Fields, IntentRecorded &V) {
  Fields(V.Account_, V.Key_, V.Service_, V.Attempt_, V.Agent_,
         V.AgentIncarnation_);
}

template <class A> void serialize(A &Fields, IntentReleased &V) {
  Fields(V.Account_, V.Key_, V.Attempt_);
}

template <class A> void serialize(A &Fields, IntentSettled &V) {
  Fields(V.Account_, V.Key_, V.Attempt_);
}

template <class A> void serialize(A &Fields, SnapshotTaken &V) {
  Fields(V.LastIncludedOffset_, V.State_);
}

template <class A> void serialize(A &Fields, Record &V) {
  Fields(V.Id_, V.Body_);
}

template <class A> void serialize(A &Fields, Cell &V) {
  Fields(V.Term_, V.Holder_, V.HolderIncarnation_, V.RenewalCount_);
}

template <class A> void serialize(A &Fields, DomainState &V) {
  Fields(V.InService_, V.Version_);
}

template <class A> void serialize(A &Fields, Intent &V) {
  Fields(V.Service_, V.Attempt_, V.Agent_, V.AgentIncarnation_);
  serializeEnum(Fields, V.State_, IntentState::Settled);
}

template <class A> void serialize(A &Fields, ControlState &V) {
  Fields(V.NextOffset_, V.Routes_, V.RoutesVersion_, V.Pools_, V.PoolsVersion_,
         V.Domains_, V.Cells_, V.Jobs_, V.FinalJobs_, V.Intents_,
         V.SettledIntents_, V.LastSequences_, V.WriterOrder_,
         V.LastSnapshotOffset_);
}

template <class A> void serialize(A &Fields, TaskReport &V) {
  Fields(V.Job_, V.Attempt_);
  serializeEnum(Fields, V.State_, TaskState::Stopped);
  Fields(V.Accelerators_, V.Checkpoint_);
}

template <class A> void serialize(A &Fields, Heartbeat &V) {
  Fields(V.Node_, V.Incarnation_, V.Sequence_);
  serializeEnum(Fields, V.Kind_, NodeKind::Upstream);
  Fields(V.Domain_, V.Rack_, V.Accelerators_, V.Service_, V.RequestAddress_,
         V.Slots_, V.InFlight_, V.Leaving_, V.HighestTerm_, V.Quarantine_,
         V.QuarantinedFor_, V.Tasks_);
}

template <class A> void serialize(A &Fields, HeartbeatAck &V) {
  Fields(V.Entry_, V.Sequence_, V.Term_, V.StartPermit_, V.TaskLease_,
         V.ConfigOffset_);
}

template <class A> void serialize(A &Fields, Reserve &V) {
  Fields(V.Term_, V.Job_, V.Attempt_, V.TaskAccelerators_, V.Command_,
         V.Checkpoint_, V.Lease_);
}

template <class A> void serialize(A &Fields, ReserveAnswer &V) {
  Fields(V.Node_, V.Job_, V.Attempt_, V.Accepted_, V.Code_);
}

template <class A> void serialize(A &Fields, Start &V) {
  Fields(V.Term_, V.Job_, V.Attempt_);
}

template <class A> void serialize(A &Fields, Stop &V) {
  Fields(V.Term_, V.Job_, V.Attempt_, V.Grace_);
}

template <class A> void serialize(A &Fields, EntryHeartbeat &V) {
  Fields(V.Node_, V.Incarnation_, V.NextOffset_, V.Leaving_);
}

template <class A> void serialize(A &Fields, RequestFrame &V) {
  Fields(V.Attempt_, V.Account_, V.Service_, V.Method_, V.Path_, V.Query_,
         V.ContentType_, V.Body_, V.Key_, V.Timeout_, V.AgentIncarnation_);
}

template <class A> void serialize(A &Fields, WorkingFrame &V) {
  Fields(V.Attempt_);
}

template <class A> void serialize(A &Fields, AnswerFrame &V) {
  Fields(V.Attempt_, V.Status_, V.ContentType_, V.Body_);
}

template <class A> void serialize(A &Fields, NotRunFrame &V) {
  Fields(V.Attempt_, V.Code_);
}

template <class A> void serialize(A &Fields, OutcomeUnknownFrame &V) {
  Fields(V.Attempt_, V.Code_);
}

template <class A> void serialize(A &Fields, KeyQueryFrame &V) {
  Fields(V.Attempt_, V.Account_, V.Key_, V.AgentIncarnation_);
}

template <class A> void serialize(A &Fields, StateQueryFrame &V) {
  Fields(V.MinOffset_);
}

template <class A> void serialize(A &Fields, StateFrame &V) {
  Fields(V.NextOffset_, V.State_);
}

} // namespace nutmegwell::model
