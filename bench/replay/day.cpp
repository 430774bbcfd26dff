#include "day.h"
#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

namespace nutmegwell::replay {

namespace {

using Fields = std::map<std::string, std::string>;

/// Reads the pairs of one line and remembers the first one that is wrong.
class Row {
public:
  explicit Row(std::istringstream &Line) {
    for (std::string Pair; Line >> Pair;) {
      const std::size_t Equals = Pair.find('=');
      if (Equals == std::string::npos)
        fail(Pair);
      else
        Fields_[Pair.substr(0, Equals)] = Pair.substr(Equals + 1);
    }
  }

  void read(const char *Name, std::string &Value) {
    if (auto It = Fields_.find(Name); It != Fields_.end()) {
      Value = It->second;
      Fields_.erase(It);
    }
  }

  template <typename Number> void read(const char *Name, Number &Value) {
    std::string Text;
    read(Name, Text);
    if (Text.empty())
      return;
    std::istringstream Stream(Text);
    if (!(Stream >> Value) || !Stream.eof())
      fail(Name);
  }

  void readSeconds(const char *Name, core::Duration &Value) {
    double Seconds = std::chrono::duration<double>(Value).count();
    read(Name, Seconds);
    Value = core::Duration(static_cast<std::int64_t>(Seconds * 1e6));
  }

  template <typename Number>
  void readList(const char *Name, std::vector<Number> &Values) {
    std::string Text;
    read(Name, Text);
    if (Text.empty())
      return;
    Values.clear();
    std::istringstream Stream(Text);
    for (std::string Item; std::getline(Stream, Item, ',');) {
      Number Value{};
      std::istringstream Part(Item);
      if (!(Part >> Value))
        fail(Name);
      Values.push_back(Value);
    }
  }

  void fail(const std::string &What) {
    if (Finding_.empty())
      Finding_ = What;
  }

  /// Returns the first field that is wrong or unknown, or an empty string.
  std::string finding() const {
    if (!Finding_.empty() || Fields_.empty())
      return Finding_;
    return Fields_.begin()->first;
  }

private:
  Fields Fields_;
  std::string Finding_;
};

void readWorkers(Row &Line, Day &Result) {
  Line.read("racks", Result.Racks_);
  Line.read("per_rack", Result.WorkersPerRack_);
  Line.readList("speeds", Result.Speeds_);
  Line.read("cpu", Result.Capacity_.Cpu_);
  Line.read("memory_mb", Result.Capacity_.MemoryMb_);
  Line.read("accelerators", Result.Capacity_.Accelerators_);
  Line.readSeconds("max_hold_s", Result.MaxLease_);
  Line.readSeconds("checkpoint_s", Result.CheckpointEvery_);
  Line.read("true_progress", Result.TrueProgress_);
}

JobKind readKind(Row &Line) {
  JobKind Kind;
  Line.read("name", Kind.Name_);
  Line.read("priority", Kind.Priority_);
  Line.read("rate", Kind.Rate_);
  Line.read("width", Kind.Width_.Mean_);
  Line.read("width_sigma", Kind.Width_.Sigma_);
  Line.read("width_max", Kind.Width_.Max_);
  Line.read("work_s", Kind.WorkSeconds_.Mean_);
  Line.read("work_sigma", Kind.WorkSeconds_.Sigma_);
  Line.read("work_max_s", Kind.WorkSeconds_.Max_);
  Line.read("cpu", Kind.Cpu_);
  Line.read("memory_mb", Kind.MemoryMb_);
  Line.readList("accelerators", Kind.Accelerators_);
  Line.read("gang", Kind.Gang_);
  Line.read("near", Kind.NearShare_);
  Line.read("checkpoints", Kind.CheckpointShare_);
  Line.read("estimate_off", Kind.EstimateOff_);
  Line.read("fail", Kind.FailShare_);
  Line.read("hopeless", Kind.HopelessShare_);
  Line.read("attempts", Kind.Attempts_);
  Line.read("stretch", Kind.Stretch_);
  Line.readSeconds("allowance_s", Kind.Allowance_);
  Line.read("worth", Kind.Worth_);
  Line.read("late_worth", Kind.LateWorth_);
  return Kind;
}

WorkerTrouble readTrouble(Row &Line) {
  WorkerTrouble Result;
  std::string How = "errors";
  Line.read("how", How);
  if (How == "errors")
    Result.Kind_ = WorkerFault::Errors;
  else if (How == "hang")
    Result.Kind_ = WorkerFault::Hang;
  else if (How == "slow")
    Result.Kind_ = WorkerFault::Slow;
  else if (How == "gone")
    Result.Kind_ = WorkerFault::Gone;
  else if (How == "leave")
    Result.Kind_ = WorkerFault::Leave;
  else
    Line.fail("how");
  Line.readSeconds("at_s", Result.At_);
  Line.readSeconds("for_s", Result.For_);
  Line.read("share", Result.Share_);
  Line.readSeconds("notice_s", Result.Notice_);
  return Result;
}

/// Reads one line into \p Result. Returns what is wrong with it.
std::string readLine(const std::string &Text, Day &Result) {
  std::istringstream Stream(Text);
  std::string Word;
  if (!(Stream >> Word) || Word[0] == '#')
    return {};
  Row Line(Stream);
  if (Word == "day") {
    Line.read("name", Result.Name_);
    Line.readSeconds("length_s", Result.Length_);
    Line.readSeconds("finish_s", Result.Finish_);
  } else if (Word == "workers") {
    readWorkers(Line, Result);
  } else if (Word == "account") {
    jobs::Account Account;
    Line.read("name", Account.Name_);
    Line.read("guarantee", Account.GuaranteedAccelerators_);
    Result.Accounts_.push_back(Account);
  } else if (Word == "kind") {
    Result.Kinds_.push_back(readKind(Line));
  } else if (Word == "burst") {
    Burst Extra;
    Line.read("kind", Extra.Kind_);
    Line.readSeconds("at_s", Extra.At_);
    Line.readSeconds("for_s", Extra.For_);
    Line.read("times", Extra.Times_);
    Result.Bursts_.push_back(Extra);
  } else if (Word == "trouble") {
    Result.Troubles_.push_back(readTrouble(Line));
  } else {
    return "unknown row " + Word;
  }
  return Line.finding();
}

double draw(const Spread &Shape, std::mt19937_64 &Random) {
  if (Shape.Sigma_ <= 0)
    return std::min(Shape.Mean_, Shape.Max_);
  // The mean of a lognormal value is exp(mu + sigma^2 / 2).
  std::lognormal_distribution<double> Values(
      std::log(Shape.Mean_) - Shape.Sigma_ * Shape.Sigma_ / 2, Shape.Sigma_);
  return std::min(Values(Random), Shape.Max_);
}

double uniform(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

double rateAt(const Day &Table, const JobKind &Kind, core::Duration At) {
  double Rate = Kind.Rate_;
  for (const Burst &Extra : Table.Bursts_)
    if (Extra.Kind_ == Kind.Name_ && At >= Extra.At_ &&
        At < Extra.At_ + Extra.For_)
      Rate *= Extra.Times_;
  return Rate;
}

core::Duration seconds(double Value) {
  return core::Duration(static_cast<std::int64_t>(Value * 1e6));
}

Arrival makeArrival(const Day &Table, std::size_t KindIndex, std::size_t Number,
                    std::mt19937_64 &Random) {
  const JobKind &Kind = Table.Kinds_[KindIndex];
  Arrival Result;
  Result.Kind_ = KindIndex;
  Result.Hopeless_ = uniform(Random) < Kind.HopelessShare_;
  jobs::JobAccepted &Job = Result.Job_;
  Job.Job_ = Kind.Name_ + "-" + std::to_string(Number);
  Job.Queue_ = Kind.Name_;
  Job.Service_ = "service";
  Job.Account_ =
      Table
          .Accounts_[static_cast<std::size_t>(
              uniform(Random) * static_cast<double>(Table.Accounts_.size()))]
          .Name_;
  Job.Priority_ = Kind.Priority_;
  Job.MaxAttempts_ = Kind.Attempts_;
  jobs::StepSpec Step;
  Step.Count_ = static_cast<std::uint32_t>(
      std::max(1.0, std::round(draw(Kind.Width_, Random))));
  Step.PerTask_ = {
      Kind.Cpu_, Kind.MemoryMb_,
      Kind.Accelerators_[static_cast<std::size_t>(
          uniform(Random) * static_cast<double>(Kind.Accelerators_.size()))]};
  Step.Gang_ = Kind.Gang_;
  Step.Checkpoints_ = uniform(Random) < Kind.CheckpointShare_;
  if (uniform(Random) < Kind.NearShare_) {
    if (Kind.Gang_)
      Step.SameRack_ = true;
    else
      Step.DataRack_ = "r" + std::to_string(Random() % Table.Racks_);
  }
  const double Work = draw(Kind.WorkSeconds_, Random);
  const double Off = 1 + Kind.EstimateOff_ * uniform(Random);
  Step.Estimate_ = seconds(uniform(Random) < 0.5 ? Work * Off : Work / Off);
  Result.Work_.assign(Step.Count_, Work);
  Job.Spec_.Command_ = "command";
  Job.Spec_.Steps_.push_back(Step);
  return Result;
}

} // namespace

std::string parseDay(const std::string &Text, Day &Result) {
  std::istringstream Lines(Text);
  std::size_t Number = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    ++Number;
    if (std::string Finding = readLine(Line, Result); !Finding.empty())
      return "line " + std::to_string(Number) + ": " + Finding;
  }
  if (Result.Accounts_.empty() || Result.Kinds_.empty())
    return "no account or no kind";
  return {};
}

std::vector<Arrival> arrivals(const Day &Table, std::uint64_t Seed) {
  /// Slots of arrival; short against every time in a day.
  constexpr core::Duration Slot = std::chrono::milliseconds(20);
  std::vector<Arrival> Result;
  std::size_t Number = 0;
  for (std::size_t Kind = 0; Kind < Table.Kinds_.size(); ++Kind) {
    std::mt19937_64 Random(Seed * 1000 + Kind);
    for (core::Duration At(0); At < Table.Length_; At += Slot) {
      const double Expected = rateAt(Table, Table.Kinds_[Kind], At) *
                              std::chrono::duration<double>(Slot).count();
      if (uniform(Random) >= Expected)
        continue;
      Result.push_back(makeArrival(Table, Kind, ++Number, Random));
      Result.back().At_ = At;
    }
  }
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const Arrival &A, const Arrival &B) { return A.At_ < B.At_; });
  return Result;
}

jobs::ServiceTables tablesOf(const Day &Table) {
  jobs::ServiceTables Tables;
  Tables.Version_ = 1;
  Tables.Accounts_ = Table.Accounts_;
  for (const JobKind &Kind : Table.Kinds_) {
    jobs::Queue Queue;
    Queue.Name_ = Kind.Name_;
    Queue.Service_ = "service";
    Queue.Priority_ = Kind.Priority_;
    Queue.MaxAttempts_ = Kind.Attempts_;
    Queue.Stretch_ = Kind.Stretch_;
    Queue.StartAllowance_ = Kind.Allowance_;
    Tables.Queues_.push_back(Queue);
  }
  return Tables;
}

} // namespace nutmegwell::replay
