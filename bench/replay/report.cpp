#include "report.h"
#include <algorithm>
#include <cstdio>
#include <sstream>

namespace nutmegwell::replay {

namespace {

constexpr core::Duration Window = std::chrono::seconds(5);
/// A job that takes up to this many times its objective is late, not lost.
constexpr int LateUpTo = 3;

/// Adds up what jobs were worth and what became of them.
class Sum {
public:
  void add(const JobResult &Job, double Worth, double LateShare) {
    Owed_ += Worth;
    if (!Job.CompletedAfter_ ||
        *Job.CompletedAfter_ > LateUpTo * Job.Objective_)
      return;
    if (*Job.CompletedAfter_ <= Job.Objective_) {
      OnTime_ += Worth;
    } else {
      Late_ += Worth;
      LateCredit_ += Worth * LateShare;
    }
  }

  Share share() const {
    if (Owed_ <= 0)
      return {1, 0, 0};
    return {OnTime_ / Owed_, Late_ / Owed_, 1 - (OnTime_ + Late_) / Owed_};
  }
  double credit() const {
    return Owed_ > 0 ? (OnTime_ + LateCredit_) / Owed_ : 1;
  }

private:
  double Owed_ = 0;
  double OnTime_ = 0;
  double Late_ = 0;
  double LateCredit_ = 0;
};

double meanSize(const std::vector<DayResult> &Days, std::size_t Kind) {
  double Total = 0;
  std::size_t Count = 0;
  for (const DayResult &Result : Days)
    for (const JobResult &Job : Result.Jobs_)
      if (Job.Kind_ == Kind) {
        Total += Job.Size_;
        ++Count;
      }
  return Count > 0 ? Total / static_cast<double>(Count) : 1;
}

/// Returns the sizes above which a job is among the largest tenth, and among
/// the three largest tenths of its kind.
std::pair<double, double> bounds(const std::vector<DayResult> &Days,
                                 std::size_t Kind) {
  std::vector<double> Sizes;
  for (const DayResult &Result : Days)
    for (const JobResult &Job : Result.Jobs_)
      if (Job.Kind_ == Kind)
        Sizes.push_back(Job.Size_);
  if (Sizes.empty())
    return {0, 0};
  std::sort(Sizes.begin(), Sizes.end());
  return {Sizes[Sizes.size() * 9 / 10], Sizes[Sizes.size() * 7 / 10]};
}

/// Returns what a job is worth: more for more work than the mean of its kind.
double worthOf(const JobKind &Kind, const JobResult &Job, double Mean) {
  /// Shares of the users' pages.
  constexpr double Fixed = 0.3;
  constexpr double BySize = 0.7;
  constexpr double Most = 4;
  return Kind.Worth_ * std::min(Most, Fixed + BySize * Job.Size_ / Mean);
}

void keepWorst(const std::map<std::string, Sum> &Groups, Share &Worst) {
  double Least = 2;
  for (const auto &[Name, Group] : Groups)
    if (Group.credit() < Least) {
      Least = Group.credit();
      Worst = Group.share();
    }
}

void line(const std::string &Name, double Value, double Baseline,
          const char *Unit, const std::string &Seeds) {
  std::printf("%s value=%.4g baseline=%.4g ratio=%.3f unit=%s seed=%s\n",
              Name.c_str(), Value, Baseline,
              Baseline != 0 ? Value / Baseline : 0, Unit, Seeds.c_str());
}

} // namespace

Summary summarize(const Day &Table, const std::vector<DayResult> &Days) {
  Summary Result;
  Sum All;
  Sum Largest;
  Sum Large;
  std::map<std::string, Sum> Kinds;
  std::map<std::string, Sum> Accounts;
  std::map<std::string, Sum> Windows;
  double Done = 0;
  double Thrown = 0;
  for (std::size_t Kind = 0; Kind < Table.Kinds_.size(); ++Kind) {
    const JobKind &Row = Table.Kinds_[Kind];
    const double Mean = meanSize(Days, Kind);
    const auto [Tenth, Fifth] = bounds(Days, Kind);
    for (std::size_t D = 0; D < Days.size(); ++D)
      for (const JobResult &Job : Days[D].Jobs_) {
        if (Job.Kind_ != Kind || Job.Hopeless_)
          continue;
        const double Worth = worthOf(Row, Job, Mean);
        const double Late = Row.LateWorth_ / Row.Worth_;
        All.add(Job, Worth, Late);
        Kinds[Row.Name_].add(Job, Worth, Late);
        Accounts[Job.Account_].add(Job, Worth, Late);
        Windows[std::to_string(D) + "/" + std::to_string(Job.At_ / Window)].add(
            Job, Worth, Late);
        if (Job.Size_ >= Tenth)
          Largest.add(Job, Worth, Late);
        else if (Job.Size_ >= Fifth)
          Large.add(Job, Worth, Late);
        Result.LongestWait_ =
            std::max(Result.LongestWait_,
                     Job.StartedAfter_.value_or(Table.Length_ - Job.At_));
      }
  }
  for (const DayResult &Day : Days) {
    Done += Day.Done_;
    Thrown += Day.ThrownAway_;
    Result.LostWithWorkers_ += Day.LostWithWorkers_;
    Result.RunsLostWithWorkers_ += Day.RunsLostWithWorkers_;
    Result.Runs_ += Day.Runs_;
    Result.Stops_ += Day.Stops_;
    Result.Appends_ += Day.Appends_;
    Result.Broken_ += Day.Broken_.size();
  }
  Result.All_ = All.share();
  Result.Credit_ = All.credit();
  Result.Largest_ = Largest.share();
  Result.Large_ = Large.share();
  for (const auto &[Name, Group] : Kinds)
    Result.ByKind_[Name] = Group.share();
  keepWorst(Accounts, Result.WorstAccount_);
  keepWorst(Windows, Result.WorstWindow_);
  Result.ThrownAway_ = Done > 0 ? Thrown / Done : 0;
  return Result;
}

void print(const Day &Table, const std::vector<NamedSummary> &Rows,
           const std::string &Seeds) {
  const Summary &Own = Rows.front().second;
  // Without a baseline, the policy stands beside itself.
  for (std::size_t I = Rows.size() > 1 ? 1 : 0; I < Rows.size(); ++I) {
    const Summary &Other = Rows[I].second;
    const std::string Prefix = Table.Name_ + ".vs_" + Rows[I].first + ".";
    line(Prefix + "credit", Own.Credit_, Other.Credit_, "share", Seeds);
    line(Prefix + "on_time", Own.All_.OnTime_, Other.All_.OnTime_, "share",
         Seeds);
    line(Prefix + "late", Own.All_.Late_, Other.All_.Late_, "share", Seeds);
    line(Prefix + "lost", Own.All_.Lost_, Other.All_.Lost_, "share", Seeds);
    for (const auto &[Kind, Share] : Own.ByKind_)
      line(Prefix + "on_time." + Kind, Share.OnTime_,
           Other.ByKind_.at(Kind).OnTime_, "share", Seeds);
    line(Prefix + "on_time.largest_tenth", Own.Largest_.OnTime_,
         Other.Largest_.OnTime_, "share", Seeds);
    line(Prefix + "on_time.fifth_below", Own.Large_.OnTime_,
         Other.Large_.OnTime_, "share", Seeds);
    line(Prefix + "on_time.worst_account", Own.WorstAccount_.OnTime_,
         Other.WorstAccount_.OnTime_, "share", Seeds);
    line(Prefix + "on_time.worst_window", Own.WorstWindow_.OnTime_,
         Other.WorstWindow_.OnTime_, "share", Seeds);
    line(Prefix + "thrown_away", Own.ThrownAway_, Other.ThrownAway_,
         "of_work_done", Seeds);
    if (Own.RunsLostWithWorkers_ + Other.RunsLostWithWorkers_ > 0) {
      line(Prefix + "lost_with_workers", Own.LostWithWorkers_,
           Other.LostWithWorkers_, "core_s", Seeds);
      line(Prefix + "runs_lost_with_workers",
           static_cast<double>(Own.RunsLostWithWorkers_),
           static_cast<double>(Other.RunsLostWithWorkers_), "runs", Seeds);
    }
    line(Prefix + "longest_wait",
         std::chrono::duration<double>(Own.LongestWait_).count(),
         std::chrono::duration<double>(Other.LongestWait_).count(), "s", Seeds);
    line(Prefix + "stops", static_cast<double>(Own.Stops_),
         static_cast<double>(Other.Stops_), "runs", Seeds);
    line(Prefix + "appends", static_cast<double>(Own.Appends_),
         static_cast<double>(Other.Appends_), "calls", Seeds);
    line(Prefix + "rules_broken", static_cast<double>(Own.Broken_),
         static_cast<double>(Other.Broken_), "records", Seeds);
  }
}

std::string plot(const Day &Table, const std::vector<NamedSummary> &Rows) {
  constexpr int BarHeight = 18;
  constexpr int Gap = 6;
  constexpr int BarWidth = 400;
  constexpr int LabelWidth = 260;
  std::ostringstream Body;
  int Y = 40;
  const auto Bar = [&](const std::string &Label, const Share &Values) {
    double X = LabelWidth;
    Body << "<text x='4' y='" << Y + BarHeight - 5 << "'>" << Label
         << "</text>\n";
    for (const auto &[Value, Colour] :
         {std::pair<double, const char *>{Values.OnTime_, "#2a7"},
          {Values.Late_, "#eb3"},
          {Values.Lost_, "#c44"}}) {
      Body << "<rect x='" << X << "' y='" << Y << "' width='"
           << Value * BarWidth << "' height='" << BarHeight << "' fill='"
           << Colour << "'/>\n";
      X += Value * BarWidth;
    }
    Y += BarHeight + Gap;
  };
  for (const auto &[Name, Row] : Rows)
    Bar("all, " + Name, Row.All_);
  for (const JobKind &Kind : Table.Kinds_)
    for (const auto &[Name, Row] : Rows)
      if (auto It = Row.ByKind_.find(Kind.Name_); It != Row.ByKind_.end())
        Bar(Kind.Name_ + ", " + Name, It->second);
  for (const auto &[Name, Row] : Rows)
    Bar("largest tenth, " + Name, Row.Largest_);
  for (const auto &[Name, Row] : Rows)
    Bar("worst window, " + Name, Row.WorstWindow_);
  std::ostringstream Text;
  Text << "<svg xmlns='http://www.w3.org/2000/svg' width='"
       << LabelWidth + BarWidth + 20 << "' height='" << Y + 10
       << "' font-family='sans-serif' font-size='12'>\n<text x='4' y='20'>"
       << Table.Name_
       << ": worth of jobs on time (green), late (yellow), lost (red)</text>\n"
       << Body.str() << "</svg>\n";
  return Text.str();
}

} // namespace nutmegwell::replay
