#include "worldparts.h"

#include <algorithm>

namespace nutmegwell::controltest {

namespace {

void reportAppend(World &All, EntryHost &Host, const model::Batch &Records,
                  bool InDoubt) {
  post(All, Host, entry::LogAvailability{false});
  for (const model::Record &Change : Records)
    post(All, Host, entry::AppendFailed{Change.Id_, InDoubt});
}

} // namespace

void appendToLog(World &All, const model::Batch &Records) {
  core::Offset At = All.Log_.size();
  All.Log_.push_back(Records);
  for (const model::Record &Change : Records) {
    bool Accepted = model::applyRecord(All.Truth_, Change, At).Accepted_;
    noteRecord(All, Change, Accepted);
  }
  if (All.percent(10))
    All.Snapshots_.push_back(All.Truth_);
}

void pumpAppends(World &All, EntryHost &Host) {
  if (Host.Appending_ || Host.Unsent_.empty())
    return;
  Host.Appending_ = true;
  model::Batch Records;
  Records.swap(Host.Unsent_);
  core::Incarnation Writer = Host.Incarnation_;
  Duration Effect = milliseconds(1) + All.upTo(All.Faults_.LongestAppend_);
  bool Answered = !All.percent(All.Faults_.LostAnswerPercent_);
  // A lost answer hides whether the append took effect.
  bool Effective = Answered || All.percent(50);
  bool InDoubt = All.percent(50);
  auto Finish = [&All, &Host, Writer, Records](bool Ok, bool Doubt) {
    if (Host.Incarnation_ != Writer)
      return;
    if (!Ok)
      reportAppend(All, Host, Records, Doubt);
    Host.Appending_ = false;
    pumpAppends(All, Host);
  };
  All.after(Effect, [=, &All, &Host] {
    bool Up = All.LogUp_ && All.Now_ >= Host.LogCutUntil_;
    if (Up && Effective)
      appendToLog(All, Records);
    All.after(milliseconds(1) + All.upTo(milliseconds(Answered ? 10 : 1500)),
              [Up, Answered, InDoubt, Finish] {
                Finish(Up && Answered, Up || InDoubt);
              });
  });
}

void read(World &All, EntryHost &Host, core::Incarnation Process) {
  if (Host.Incarnation_ != Process)
    return;
  auto Again = [&All, &Host, Process](Duration Wait) {
    All.after(Wait, [&All, &Host, Process] { read(All, Host, Process); });
  };
  if (All.Now_ < Host.PausedUntil_)
    return Again(Host.PausedUntil_ - All.Now_);
  if (All.Now_ < std::max(Host.ReaderStuckUntil_, Host.LogCutUntil_) ||
      !All.LogUp_)
    return Again(milliseconds(100));
  TimePoint Began = All.Now_;
  All.after(milliseconds(1) + All.upTo(milliseconds(20)), [=, &All, &Host] {
    if (Host.Incarnation_ != Process)
      return;
    bool Partial = All.percent(10);
    if (!Host.State_.LogAvailable_)
      post(All, Host, entry::LogAvailability{true});
    while (Host.ReadNext_ < All.Log_.size()) {
      core::Offset At = Host.ReadNext_++;
      post(All, Host, entry::LogEntry{At, All.Log_[At]});
      if (Partial)
        break;
    }
    if (Host.ReadNext_ == All.Log_.size())
      post(All, Host, entry::LogTailReached{Began});
    Again(milliseconds(20) + All.upTo(milliseconds(100)));
  });
}

void restartReader(World &All, EntryHost &Target) {
  if (All.Snapshots_.empty() || !All.LogUp_)
    return;
  const model::ControlState &From =
      All.Snapshots_[All.pick(All.Snapshots_.size())];
  Target.ReadNext_ = From.NextOffset_;
  post(All, Target, entry::StateInstalled{From});
}

} // namespace nutmegwell::controltest
