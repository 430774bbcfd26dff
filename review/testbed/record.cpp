#include "record.h"
#include <iostream>

namespace testbed {

void Record::add(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  const auto At =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin_);
  File_ << At.count() << " " << Line << std::endl;
}

void Record::say(const std::string &Line) {
  std::cout << Line << std::endl;
  add(Line);
}

void RunLedger::started(const std::string &Task, std::uint64_t Number,
                        const std::string &Executor) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Run Added;
  Added.Number_ = Number;
  Added.Executor_ = Executor;
  Added.Start_ = Clock::now();
  Runs_[Task].push_back(Added);
}

void RunLedger::ended(const std::string &Task, std::uint64_t Number,
                      const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (Run &Known : Runs_[Task])
    if (Known.Number_ == Number && Known.How_.empty()) {
      Known.End_ = Clock::now();
      Known.How_ = How;
    }
}

void RunLedger::noted(const std::string &Task, std::uint64_t Number) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (Run &Known : Runs_[Task])
    if (Known.Number_ == Number)
      Known.Noted_ = true;
}

std::vector<std::string> RunLedger::repeatedStarts() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<std::string> Lines;
  for (const auto &[Task, Runs] : Runs_)
    for (std::size_t Later = 1; Later < Runs.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        const Run &First = Runs[Earlier];
        const Run &Second = Runs[Later];
        const std::string Names = Task + ": run " +
                                  std::to_string(Second.Number_) + " on " +
                                  Second.Executor_ + " began ";
        if (First.How_ == "done" && First.Noted_ && First.End_ <= Second.Start_)
          Lines.push_back(Names + "after run " + std::to_string(First.Number_) +
                          " on " + First.Executor_ + " had ended done");
        else if (First.End_ > Second.Start_)
          Lines.push_back(Names + "while run " + std::to_string(First.Number_) +
                          " on " + First.Executor_ + " was at work");
      }
  return Lines;
}

std::size_t RunLedger::startCount() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::size_t Count = 0;
  for (const auto &[Task, Runs] : Runs_)
    Count += Runs.size();
  return Count;
}

std::size_t RunLedger::doneCount(const std::string &Job) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::size_t Count = 0;
  for (const auto &[Task, Runs] : Runs_) {
    bool Done = false;
    for (const Run &Known : Runs)
      Done |= Known.How_ == "done";
    Count += isOf(Task, Job) && Done;
  }
  return Count;
}

std::size_t RunLedger::notedCount(const std::string &Job) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::size_t Count = 0;
  for (const auto &[Task, Runs] : Runs_) {
    bool Noted = false;
    for (const Run &Known : Runs)
      Noted |= Known.Noted_;
    Count += isOf(Task, Job) && Noted;
  }
  return Count;
}

} // namespace testbed
