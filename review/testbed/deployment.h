#pragma once

#include "executor.h"
#include "store.h"
#include <memory>
#include <sys/types.h>

namespace testbed {

/// Keys of the two client accounts, and the host name of all queues.
constexpr const char *AccountKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char *OtherAccountKey = "3hh2b9wu3fexd9dnn2ct";
constexpr const char *QueueHost = "nony24.example";

struct DeploymentSettings {
  int Entries_ = 3;
  int Executors_ = 3;
  ExecutorSettings Executor_;
  /// Memory of a machine that carries traffic. The platform kills a process
  /// that exceeds it and starts it again.
  long EntryMemoryMb_ = 260;
  bool KillOverMemory_ = false;
};

/// The answer of an entry host to a client; without a status there was none.
struct Answer {
  int Status_ = 0;
  std::string Body_;
};

/// A small deployment on loopback: the project's daemons as processes, with the
/// settings that the deploy file's templates give, and stand-ins for the store
/// and the executors. Ends all processes that it has started.
class Deployment {
public:
  Deployment(const DeploymentSettings &Settings, Record &Lines);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Waits until every entry host is ready and the executors can be used.
  bool waitReady(Milliseconds Limit);

  Answer post(int Entry, const std::string &Queue, const std::string &Job,
              const std::string &Body, Milliseconds Timeout,
              const std::string &Key = AccountKey);
  Answer get(int Entry, const std::string &Queue, const std::string &Job,
             Milliseconds Timeout);
  Answer cancel(int Entry, const std::string &Queue, const std::string &Job,
                Milliseconds Timeout);
  /// Does what a client does: tries the entry hosts in turn, \p Attempts times,
  /// until one answers with 200.
  Answer persist(const std::string &Method, const std::string &Queue,
                 const std::string &Job, const std::string &Body, int Attempts);

  int entryCount() const { return static_cast<int>(Entries_.size()); }
  void signalEntry(int Entry, int Signal);
  /// Starts an entry host again whose process has ended.
  void restartEntry(int Entry);
  void signalAgent(int Agent, int Signal);
  void restartAgent(int Agent);
  bool entryReady(int Entry);
  long entryMemoryMb(int Entry) const;
  /// Returns how often the platform has killed processes of entry hosts for
  /// exceeding the memory of their machines.
  int memoryKills() const { return MemoryKills_; }
  /// Returns how often processes of entry hosts have ended by themselves.
  int crashes() const { return Crashes_; }

  Store &store() { return Store_; }
  RunLedger &ledger() { return Ledger_; }
  Executor &executor(int Index) { return *Executors_[Index]; }

private:
  struct Process {
    std::string Name_;
    std::string SettingsPath_;
    std::string LogPath_;
    pid_t Pid_ = -1;
    int FrontPort_ = 0;
    int ReadyPort_ = 0;
  };

  Answer exchange(const std::string &Method, int Entry, const std::string &Path,
                  const std::string &Body, Milliseconds Timeout,
                  const std::string &Key = AccountKey);
  void addEntry(int Index, const std::string &Seeds, int ControlPort);
  void addAgent(int Index, const std::string &Seeds);
  void start(Process &Target) const;
  void signalProcess(Process &Target, int Signal);
  static void end(Process &Target);
  void watchEntries();
  void restartIfEnded(int Entry);
  void killOverMemory(int Entry);

  DeploymentSettings Settings_;
  Record &Record_;
  RunLedger Ledger_;
  Store Store_;
  std::string Folder_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  mutable std::mutex Mutex_;
  std::vector<Process> Entries_;
  std::vector<Process> Agents_;
  std::atomic<int> MemoryKills_{0};
  std::atomic<int> Crashes_{0};
  std::atomic<bool> Closing_{false};
  std::thread Watch_;
};

/// Returns the command-line argument \p Index or \p Default.
std::string argument(int Count, char **Values, int Index,
                     const std::string &Default);

/// Returns whether the case is to be played with its disruption: TROUBLE is not
/// set to 0 in the environment.
bool withTrouble();

/// Returns the state in a client's answer, or an empty string.
std::string stateIn(const Answer &Reply);

} // namespace testbed
