#include "nutmegwell/history/rules.h"
#include "select.h"
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace nutmegwell::history {

namespace {

constexpr char GangRule[] = "gang-atomic";

using AttemptKey = std::pair<std::string, std::uint32_t>;

/// What is known of one attempt while the events are walked in order.
struct Attempt {
  std::optional<std::size_t> Committed_;
  std::optional<std::size_t> Ended_;
  std::uint32_t Tasks_ = 0;
  /// Tasks that ended by themselves with success.
  std::uint32_t Done_ = 0;
  std::set<std::uint32_t> Started_;
  /// Running tasks with the indices of their starts.
  std::map<std::uint32_t, std::size_t> Running_;
  /// Event from which some, but not all, tasks have run.
  std::optional<std::size_t> PartialSince_;
};

/// Walks the events of gangs in order and collects violations.
struct GangWalk {
  const History &Run_;
  const Bounds &Limits_;
  std::map<AttemptKey, Attempt> Attempts_;
  /// Attempts of each job with running tasks.
  std::map<std::string, std::set<std::uint32_t>> Active_;
  Violations Found_;

  void add(std::string Message, std::vector<std::size_t> Events) {
    Found_.push_back({GangRule, std::move(Message), std::move(Events)});
  }

  static std::string name(const AttemptKey &Key) {
    return "job " + Key.first + " attempt " + std::to_string(Key.second);
  }

  /// Ends the partial period that began at Known.PartialSince_, at \p Index.
  void endPartial(const AttemptKey &Key, Attempt &Known, std::size_t Index,
                  core::Duration Limit) {
    if (between(Run_, *Known.PartialSince_, Index) > Limit)
      add(name(Key) + " ran partially beyond the bound",
          {*Known.PartialSince_, Index});
    Known.PartialSince_.reset();
  }

  void countChanged(const AttemptKey &Key, Attempt &Known, std::size_t Index) {
    const std::size_t Running = Known.Running_.size();
    const bool Full = Running + Known.Done_ >= Known.Tasks_;
    if (Known.PartialSince_ && Running == 0)
      endPartial(Key, Known, Index, Limits_.TaskLease_);
    else if (Known.PartialSince_ && Full)
      endPartial(Key, Known, Index, Limits_.StartWindow_);
    else if (!Known.PartialSince_ && Running > 0 && !Full)
      Known.PartialSince_ = Index;
  }

  void start(std::size_t Index, const TaskStarted &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    Attempt &Known = Attempts_[Key];
    if (!Known.Committed_)
      add(name(Key) + " runs a task without a commit", {Index});
    if (Known.Ended_)
      add(name(Key) + " starts a task after its end", {*Known.Ended_, Index});
    if (!Known.Started_.insert(E.Task_).second)
      add(name(Key) + " starts task " + std::to_string(E.Task_) + " twice",
          {Index});
    Known.Running_[E.Task_] = Index;
    auto &Active = Active_[E.Job_];
    Active.insert(E.Attempt_);
    for (std::uint32_t Other : Active)
      if (Other != E.Attempt_)
        add(name(Key) + " runs while attempt " + std::to_string(Other) +
                " still does",
            {Attempts_[{E.Job_, Other}].Running_.begin()->second, Index});
    countChanged(Key, Known, Index);
  }

  void stop(std::size_t Index, const TaskStopped &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    Attempt &Known = Attempts_[Key];
    if (Known.Running_.erase(E.Task_) == 0)
      return;
    Known.Done_ += E.Done_ ? 1 : 0;
    if (Known.Running_.empty())
      Active_[E.Job_].erase(E.Attempt_);
    countChanged(Key, Known, Index);
  }

  void end(std::size_t Index, const AttemptEnded &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    Attempt &Known = Attempts_[Key];
    Known.Ended_ = Index;
    if (!Known.Running_.empty())
      add(name(Key) + " ended while a task ran",
          {Known.Running_.begin()->second, Index});
  }

  /// Partial periods that last to the end of the history may be too long.
  void finish() {
    const std::size_t Last = Run_.Events_.size() - 1;
    for (auto &[Key, Known] : Attempts_)
      if (Known.PartialSince_)
        endPartial(Key, Known, Last, Limits_.TaskLease_);
  }
};

} // namespace

Violations checkGangAtomic(const History &Run, const Bounds &Limits) {
  GangWalk Walk{Run, Limits, {}, {}, {}};
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Commit = std::get_if<AttemptCommitted>(&Body)) {
      Attempt &Known = Walk.Attempts_[{Commit->Job_, Commit->Attempt_}];
      if (Known.Committed_)
        Walk.add("job " + Commit->Job_ + " attempt " +
                     std::to_string(Commit->Attempt_) + " was committed twice",
                 {*Known.Committed_, I});
      Known.Committed_ = I;
      Known.Tasks_ = Commit->Tasks_;
    } else if (const auto *Start = std::get_if<TaskStarted>(&Body)) {
      Walk.start(I, *Start);
    } else if (const auto *Stop = std::get_if<TaskStopped>(&Body)) {
      Walk.stop(I, *Stop);
    } else if (const auto *End = std::get_if<AttemptEnded>(&Body)) {
      Walk.end(I, *End);
    }
  }
  Walk.finish();
  return std::move(Walk.Found_);
}

Violations checkDomainOut(const History &Run, const Bounds &Limits) {
  constexpr char Rule[] = "domain-out";
  Violations Found;
  std::map<std::string, std::size_t> Out;
  std::map<std::string, std::size_t> Revoked;
  auto CheckDomain = [&](const std::string &Domain, std::size_t Index) {
    auto Since = Out.find(Domain);
    if (Since != Out.end() &&
        between(Run, Since->second, Index) > Limits.DomainOut_)
      Found.push_back({Rule,
                       "a task started in domain " + Domain +
                           " after it was taken out of service",
                       {Since->second, Index}});
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Leave = std::get_if<DomainOut>(&Body))
      Out.emplace(Leave->Domain_, I);
    else if (const auto *Return = std::get_if<DomainIn>(&Body))
      Out.erase(Return->Domain_);
    else if (const auto *Revoke = std::get_if<PermitRevoked>(&Body))
      Revoked.emplace(Revoke->Worker_, I);
    else if (const auto *Grant = std::get_if<PermitGranted>(&Body))
      Revoked.erase(Grant->Worker_);
    const auto *Start = std::get_if<TaskStarted>(&Body);
    const auto *RunStart = std::get_if<RunStarted>(&Body);
    if (RunStart && !RunStart->Late_)
      CheckDomain(RunStart->Domain_, I);
    if (!Start)
      continue;
    CheckDomain(Start->Domain_, I);
    auto Permit = Revoked.find(Start->Worker_);
    if (Permit != Revoked.end())
      Found.push_back(
          {Rule,
           "a task started on " + Start->Worker_ + " without a permit",
           {Permit->second, I}});
  }
  return Found;
}

namespace {

/// Claim that is not obtained yet.
struct OpenClaim {
  std::size_t Requested_ = 0;
  GuaranteeRequested Body_;
};

bool covers(const GuaranteeShape &Got, const GuaranteeShape &Asked) {
  return Got.Accelerators_ >= Asked.Accelerators_ &&
         Got.Block_ >= Asked.Block_ && Got.Level_ <= Asked.Level_;
}

/// Adds starts of jobs in whose place another attempt still ran.
void checkStoppedFirst(const History &Run, Violations &Found) {
  std::multimap<std::string, AttemptKey> Blocked;
  /// Running tasks of each attempt with the indices of their starts.
  std::map<AttemptKey, std::map<std::uint32_t, std::size_t>> Running;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Block = std::get_if<GuaranteeBlocked>(&Body))
      Blocked.emplace(Block->Claim_, AttemptKey{Block->Job_, Block->Attempt_});
    else if (const auto *Stop = std::get_if<TaskStopped>(&Body))
      Running[{Stop->Job_, Stop->Attempt_}].erase(Stop->Task_);
    const auto *Start = std::get_if<TaskStarted>(&Body);
    if (!Start)
      continue;
    Running[{Start->Job_, Start->Attempt_}][Start->Task_] = I;
    auto [Block, Last] = Blocked.equal_range(Start->Job_);
    for (; Block != Last; ++Block)
      for (const auto &[Task, Since] : Running[Block->second])
        Found.push_back({"guarantee-reclaim",
                         "claim " + Start->Job_ + " started while " +
                             GangWalk::name(Block->second) +
                             " ran in its place",
                         {Since, I}});
  }
}

} // namespace

Violations checkGuaranteeReclaim(const History &Run, const Bounds &Limits) {
  constexpr char Rule[] = "guarantee-reclaim";
  Violations Found;
  std::map<std::string, OpenClaim> Open;
  std::set<std::string> Out;
  auto CheckTime = [&](const OpenClaim &Claim, std::size_t Index) {
    if (between(Run, Claim.Requested_, Index) > Limits.Reclaim_)
      Found.push_back(
          {Rule,
           "claim " + Claim.Body_.Claim_ + " was not met within the bound",
           {Claim.Requested_, Index}});
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Asked = std::get_if<GuaranteeRequested>(&Body)) {
      // A domain out of service has no capacity to give back.
      if (Out.count(Asked->Domain_) == 0)
        Open[Asked->Claim_] = OpenClaim{I, *Asked};
    } else if (const auto *Got = std::get_if<GuaranteeObtained>(&Body)) {
      auto Claim = Open.find(Got->Claim_);
      if (Claim == Open.end())
        continue;
      CheckTime(Claim->second, I);
      if (!covers(Got->Shape_, Claim->second.Body_.Shape_))
        Found.push_back({Rule,
                         "claim " + Got->Claim_ + " got less than its shape",
                         {Claim->second.Requested_, I}});
      Open.erase(Claim);
    } else if (const auto *Gone = std::get_if<GuaranteeWithdrawn>(&Body)) {
      auto Claim = Open.find(Gone->Claim_);
      if (Claim == Open.end())
        continue;
      CheckTime(Claim->second, I);
      Open.erase(Claim);
    } else if (const auto *Leave = std::get_if<DomainOut>(&Body)) {
      Out.insert(Leave->Domain_);
      for (auto Claim = Open.begin(); Claim != Open.end();) {
        if (Claim->second.Body_.Domain_ != Leave->Domain_) {
          ++Claim;
          continue;
        }
        CheckTime(Claim->second, I);
        Claim = Open.erase(Claim);
      }
    } else if (const auto *Return = std::get_if<DomainIn>(&Body)) {
      Out.erase(Return->Domain_);
    }
  }
  for (const auto &[Id, Claim] : Open)
    CheckTime(Claim, Run.Events_.size() - 1);
  checkStoppedFirst(Run, Found);
  return Found;
}

} // namespace nutmegwell::history
