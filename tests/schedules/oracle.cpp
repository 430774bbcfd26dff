#include "oracle.h"

#include "nutmegwell/wire/binary.h"
#include <functional>
#include <type_traits>

namespace nutmegwell::schedules {

namespace {

/// True for records that only the current holder of a cell may write.
template <typename Body, typename = void>
struct RequiresHolder : std::false_type {};
template <typename Body>
struct RequiresHolder<Body, std::void_t<decltype(Body::Term_)>>
    : std::bool_constant<!std::is_same_v<Body, model::CellClaimed>> {};

} // namespace

std::string domainItem(const model::DomainName &Domain) {
  return "domain " + Domain;
}

void Oracle::expect(bool Condition, const std::string &Message) {
  if (!Condition && Failure_.empty())
    Failure_ =
        "offset " + std::to_string(State_.NextOffset_ - 1) + ": " + Message;
}

std::size_t Oracle::digest(const model::ControlState &State) {
  return std::hash<std::string>()(wire::encode(State));
}

std::optional<std::size_t> Oracle::digestAt(core::Offset Next) const {
  auto Known = Digests_.find(Next);
  if (Known == Digests_.end())
    return std::nullopt;
  return Known->second;
}

void Oracle::applyEntry(core::Offset At, const std::string &Bytes,
                        core::TimePoint Now) {
  Now_ = Now;
  auto Decoded = wire::decodeBatch(Bytes);
  if (!Decoded.ok())
    return;
  for (const model::Record &Change : *Decoded) {
    RecordOffsets_[Change.Id_].insert(At);
    // Comparing whole states is slow, so only every fourth record is checked
    // for changes by a rejected record.
    std::optional<model::ControlState> Before;
    if (++RecordCount_ % 4 == 0)
      Before = State_;
    const model::FoldResult Result = model::applyRecord(State_, Change, At);
    checkVerdict(Before, Change, Result);
  }
  Digests_[State_.NextOffset_] = digest(State_);
}

void Oracle::checkVerdict(const std::optional<model::ControlState> &Before,
                          const model::Record &Change,
                          const model::FoldResult &Result) {
  ++Verdicts_[Result.Accepted_ ? "accepted" : Result.Code_];
  const std::string Id = core::toString(Change.Id_);
  std::uint64_t &Highest = LastSequences_[Change.Id_.Writer_];
  const bool Repeat = Change.Id_.Sequence_ <= Highest;
  Highest = std::max(Highest, Change.Id_.Sequence_);
  expect(Repeat == (Result.Code_ == "repeated_record"),
         "record " + Id + " has the unexpected verdict " + Result.Code_);
  if (!Repeat)
    expect(++ApplyCounts_[Change.Id_] == 1,
           "record " + Id + " is applied twice");
  Writer_ = Change.Id_.Writer_;
  if (Result.Accepted_) {
    std::visit([this](const auto &Body) { accept(Body); }, Change.Body_);
    return;
  }
  if (Before) {
    model::ControlState After = State_;
    After.NextOffset_ = Before->NextOffset_;
    After.LastSequences_ = Before->LastSequences_;
    After.WriterOrder_ = Before->WriterOrder_;
    expect(wire::encode(After) == wire::encode(*Before),
           "the rejected record " + Id + " (" + Result.Code_ +
               ") changed the state");
  }
  if (Result.Code_ == "stale_version") {
    std::string Item = "routes";
    if (std::holds_alternative<model::PoolsPublished>(Change.Body_))
      Item = "pools";
    if (const auto *Body = std::get_if<model::DomainChanged>(&Change.Body_))
      Item = domainItem(Body->Domain_);
    expect(
        Result.Reason_.find("at version " + std::to_string(Versions_[Item])) !=
            std::string::npos,
        "the refusal of " + Id +
            " does not name the version in force: " + Result.Reason_);
  }
}

void Oracle::changeVersion(const std::string &Item, core::Version Expected) {
  core::Version &InForce = Versions_[Item];
  expect(Expected == InForce,
         Item +
             ": a change was accepted that expects a version other than the "
             "one in force: version " +
             std::to_string(Expected));
  ++InForce;
  Events_.push_back({Now_, "log", history::ConfigAccepted{Item, InForce, ""}});
}

void Oracle::checkHolder(const model::DomainName &Domain, core::Term Term) {
  const ExpectedCell &Cell = Cells_[Domain];
  expect(Term == Cell.Term_ && Writer_ == Cell.Writer_,
         "cell " + Domain + ": a record of term " + std::to_string(Term) +
             " was accepted from a writer that does not hold it");
}

template <typename Body> void Oracle::accept(const Body &Change) {
  if constexpr (RequiresHolder<Body>::value)
    checkHolder(Change.Domain_, Change.Term_);
}

void Oracle::accept(const model::RoutesPublished &Body) {
  changeVersion("routes", Body.ExpectedVersion_);
}

void Oracle::accept(const model::PoolsPublished &Body) {
  changeVersion("pools", Body.ExpectedVersion_);
}

void Oracle::accept(const model::DomainChanged &Body) {
  changeVersion(domainItem(Body.Domain_), Body.ExpectedVersion_);
  InService_[Body.Domain_] = Body.InService_;
  if (Body.InService_)
    Events_.push_back({Now_, "log", history::DomainIn{Body.Domain_}});
  else
    Events_.push_back({Now_, "log", history::DomainOut{Body.Domain_}});
}

void Oracle::accept(const model::CellClaimed &Body) {
  ExpectedCell &Cell = Cells_[Body.Domain_];
  expect(Body.Term_ == Cell.Term_ + 1,
         "cell " + Body.Domain_ +
             ": a claim was accepted that does not advance the term by one");
  Cell = {Body.Term_, Writer_};
}

void Oracle::accept(const model::CellReleased &Body) {
  checkHolder(Body.Domain_, Body.Term_);
  Cells_[Body.Domain_].Writer_ = 0;
}

void Oracle::accept(const model::JobCommitted &Body) {
  checkHolder(Body.Domain_, Body.Term_);
  auto Known = InService_.find(Body.Domain_);
  expect(Known == InService_.end() || Known->second,
         "a job was committed in domain " + Body.Domain_ +
             " that is out of service");
  expect(RunningJobs_.insert(Body.Job_).second,
         "two attempts of a job are committed");
  std::uint32_t &Last = LastAttempts_[Body.Job_];
  expect(Body.Attempt_ > Last, "an attempt number is used twice");
  Last = Body.Attempt_;
}

void Oracle::accept(const model::JobRequeued &Body) {
  checkHolder(Body.Domain_, Body.Term_);
  RunningJobs_.erase(Body.Job_);
}

void Oracle::accept(const model::JobFinished &Body) {
  checkHolder(Body.Domain_, Body.Term_);
  RunningJobs_.erase(Body.Job_);
}

void Oracle::accept(const model::IntentRecorded &Body) {
  expect(OpenIntents_.emplace(Body.Key_, Body.Attempt_).second,
         "key " + Body.Key_ + " has two intents");
}

void Oracle::accept(const model::IntentReleased &Body) {
  expect(OpenIntents_[Body.Key_] == Body.Attempt_,
         "key " + Body.Key_ + " was released by another attempt");
  OpenIntents_.erase(Body.Key_);
}

} // namespace nutmegwell::schedules
