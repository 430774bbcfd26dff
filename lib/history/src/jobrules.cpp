#include "eventaccess.h"
#include "nutmegwell/history/rules.h"
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace nutmegwell::history {

namespace {

constexpr char GangRule[] = "gang-atomic";

using AttemptKey = std::pair<std::string, std::uint32_t>;

/// State of one attempt while the events are applied in order. The members
/// named *Index_ are indices of events.
struct AttemptState {
  std::optional<std::size_t> CommitIndex_;
  std::optional<std::size_t> EndIndex_;
  std::uint32_t Tasks_ = 0;
  /// Tasks that ended by themselves with success.
  std::uint32_t Done_ = 0;
  std::set<std::uint32_t> Started_;
  /// Running tasks with the indices of their starts.
  std::map<std::uint32_t, std::size_t> Running_;
  /// Event since which some tasks, but not all, run.
  std::optional<std::size_t> PartialSinceIndex_;
};

/// Applies the events of gangs in order and collects violations.
struct GangChecker {
  const History &Run_;
  const Bounds &Limits_;
  std::map<AttemptKey, AttemptState> Attempts_;
  /// Attempts of each job with running tasks.
  std::map<std::string, std::set<std::uint32_t>> ActiveAttempts_;
  Violations Found_;

  void add(std::string Message, std::vector<std::size_t> Events) {
    Found_.push_back({GangRule, std::move(Message), std::move(Events)});
  }

  static std::string attemptName(const AttemptKey &Key) {
    return "job " + Key.first + " attempt " + std::to_string(Key.second);
  }

  /// Ends at \p Index the period in which only some tasks ran, and adds a
  /// violation when it lasted longer than \p Limit.
  void endPartialPeriod(const AttemptKey &Key, AttemptState &State,
                        std::size_t Index, core::Duration Limit) {
    if (timeBetween(Run_, *State.PartialSinceIndex_, Index) > Limit)
      add(attemptName(Key) +
              " ran only some of its tasks for longer than the bound",
          {*State.PartialSinceIndex_, Index});
    State.PartialSinceIndex_.reset();
  }

  void updatePartialPeriod(const AttemptKey &Key, AttemptState &State,
                           std::size_t Index) {
    const std::size_t Running = State.Running_.size();
    const bool Full = Running + State.Done_ >= State.Tasks_;
    if (State.PartialSinceIndex_ && Running == 0)
      endPartialPeriod(Key, State, Index, Limits_.TaskLease_);
    else if (State.PartialSinceIndex_ && Full)
      endPartialPeriod(Key, State, Index, Limits_.StartWindow_);
    else if (!State.PartialSinceIndex_ && Running > 0 && !Full)
      State.PartialSinceIndex_ = Index;
  }

  void onTaskStarted(std::size_t Index, const TaskStarted &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    AttemptState &State = Attempts_[Key];
    if (!State.CommitIndex_)
      add(attemptName(Key) + " runs a task without a commit", {Index});
    if (State.EndIndex_)
      add(attemptName(Key) + " starts a task after its end",
          {*State.EndIndex_, Index});
    if (!State.Started_.insert(E.Task_).second)
      add(attemptName(Key) + " starts task " + std::to_string(E.Task_) +
              " twice",
          {Index});
    State.Running_[E.Task_] = Index;
    auto &ActiveAttempts = ActiveAttempts_[E.Job_];
    ActiveAttempts.insert(E.Attempt_);
    for (std::uint32_t Other : ActiveAttempts)
      if (Other != E.Attempt_)
        add(attemptName(Key) + " runs while attempt " + std::to_string(Other) +
                " still runs",
            {Attempts_[{E.Job_, Other}].Running_.begin()->second, Index});
    updatePartialPeriod(Key, State, Index);
  }

  void onTaskStopped(std::size_t Index, const TaskStopped &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    AttemptState &State = Attempts_[Key];
    if (State.Running_.erase(E.Task_) == 0)
      return;
    State.Done_ += E.Done_ ? 1 : 0;
    if (State.Running_.empty())
      ActiveAttempts_[E.Job_].erase(E.Attempt_);
    updatePartialPeriod(Key, State, Index);
  }

  void onAttemptEnded(std::size_t Index, const AttemptEnded &E) {
    const AttemptKey Key{E.Job_, E.Attempt_};
    AttemptState &State = Attempts_[Key];
    State.EndIndex_ = Index;
    if (!State.Running_.empty())
      add(attemptName(Key) + " ended while a task ran",
          {State.Running_.begin()->second, Index});
  }

  /// Checks the partial periods that are still open at the end of the history.
  void checkOpenPartialPeriods() {
    const std::size_t Last = Run_.Events_.size() - 1;
    for (auto &[Key, State] : Attempts_)
      if (State.PartialSinceIndex_)
        endPartialPeriod(Key, State, Last, Limits_.TaskLease_);
  }
};

} // namespace

Violations checkGangAtomic(const History &Run, const Bounds &Limits) {
  GangChecker Checker{Run, Limits, {}, {}, {}};
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Commit = std::get_if<AttemptCommitted>(&Body)) {
      AttemptState &State = Checker.Attempts_[{Commit->Job_, Commit->Attempt_}];
      if (State.CommitIndex_)
        Checker.add("job " + Commit->Job_ + " attempt " +
                        std::to_string(Commit->Attempt_) +
                        " was committed twice",
                    {*State.CommitIndex_, I});
      State.CommitIndex_ = I;
      State.Tasks_ = Commit->Tasks_;
    } else if (const auto *Start = std::get_if<TaskStarted>(&Body)) {
      Checker.onTaskStarted(I, *Start);
    } else if (const auto *Stop = std::get_if<TaskStopped>(&Body)) {
      Checker.onTaskStopped(I, *Stop);
    } else if (const auto *End = std::get_if<AttemptEnded>(&Body)) {
      Checker.onAttemptEnded(I, *End);
    }
  }
  Checker.checkOpenPartialPeriods();
  return std::move(Checker.Found_);
}

Violations checkDomainOut(const History &Run, const Bounds &Limits) {
  constexpr char Rule[] = "domain-out";
  Violations Found;
  std::map<std::string, std::size_t> OutOfService;
  std::map<std::string, std::size_t> Revoked;
  auto CheckDomain = [&](const std::string &Domain, std::size_t Index) {
    auto Since = OutOfService.find(Domain);
    if (Since != OutOfService.end() &&
        timeBetween(Run, Since->second, Index) > Limits.DomainOut_)
      Found.push_back({Rule,
                       "a task started in domain " + Domain +
                           " after it was taken out of service",
                       {Since->second, Index}});
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Leave = std::get_if<DomainOut>(&Body))
      OutOfService.emplace(Leave->Domain_, I);
    else if (const auto *Return = std::get_if<DomainIn>(&Body))
      OutOfService.erase(Return->Domain_);
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
           "a task started on " + Start->Worker_ + " without a start permit",
           {Permit->second, I}});
  }
  return Found;
}

namespace {

/// A claim that is not met yet, with the index and the body of its request.
struct OpenClaim {
  std::size_t RequestIndex_ = 0;
  GuaranteeRequested Request_;
};

bool satisfies(const GuaranteeShape &Obtained,
               const GuaranteeShape &Requested) {
  return Obtained.Accelerators_ >= Requested.Accelerators_ &&
         Obtained.Block_ >= Requested.Block_ &&
         Obtained.Level_ <= Requested.Level_;
}

/// Adds a violation for each job that starts while an attempt that occupies its
/// accelerators still runs.
void checkBorrowersStopped(const History &Run, Violations &Found) {
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
                             GangChecker::attemptName(Block->second) +
                             " still ran on its accelerators",
                         {Since, I}});
  }
}

} // namespace

Violations checkGuaranteeReclaim(const History &Run, const Bounds &Limits) {
  constexpr char Rule[] = "guarantee-reclaim";
  Violations Found;
  std::map<std::string, OpenClaim> OpenClaims;
  std::set<std::string> OutOfService;
  auto CheckTime = [&](const OpenClaim &Claim, std::size_t Index) {
    if (timeBetween(Run, Claim.RequestIndex_, Index) > Limits.Reclaim_)
      Found.push_back(
          {Rule,
           "claim " + Claim.Request_.Claim_ + " was not met within the bound",
           {Claim.RequestIndex_, Index}});
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Requested = std::get_if<GuaranteeRequested>(&Body)) {
      // A domain that is out of service cannot return any capacity.
      if (OutOfService.count(Requested->Domain_) == 0)
        OpenClaims[Requested->Claim_] = OpenClaim{I, *Requested};
    } else if (const auto *Obtained = std::get_if<GuaranteeObtained>(&Body)) {
      auto Claim = OpenClaims.find(Obtained->Claim_);
      if (Claim == OpenClaims.end())
        continue;
      CheckTime(Claim->second, I);
      if (!satisfies(Obtained->Shape_, Claim->second.Request_.Shape_))
        Found.push_back(
            {Rule,
             "claim " + Obtained->Claim_ + " got less than it requested",
             {Claim->second.RequestIndex_, I}});
      OpenClaims.erase(Claim);
    } else if (const auto *Withdrawn = std::get_if<GuaranteeWithdrawn>(&Body)) {
      auto Claim = OpenClaims.find(Withdrawn->Claim_);
      if (Claim == OpenClaims.end())
        continue;
      CheckTime(Claim->second, I);
      OpenClaims.erase(Claim);
    } else if (const auto *Leave = std::get_if<DomainOut>(&Body)) {
      OutOfService.insert(Leave->Domain_);
      for (auto Claim = OpenClaims.begin(); Claim != OpenClaims.end();) {
        if (Claim->second.Request_.Domain_ != Leave->Domain_) {
          ++Claim;
          continue;
        }
        CheckTime(Claim->second, I);
        Claim = OpenClaims.erase(Claim);
      }
    } else if (const auto *Return = std::get_if<DomainIn>(&Body)) {
      OutOfService.erase(Return->Domain_);
    }
  }
  for (const auto &[Id, Claim] : OpenClaims)
    CheckTime(Claim, Run.Events_.size() - 1);
  checkBorrowersStopped(Run, Found);
  return Found;
}

} // namespace nutmegwell::history
