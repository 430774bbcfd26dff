#pragma once

#include "executor.h"
#include "store.h"
#include <memory>

namespace review {

/// Stands for a state that was not answered.
constexpr char UnknownState[] = "unknown";

/// Runs the project's programs as processes on loopback, with the commands and
/// the settings templates of the deploy folder, beside stand-ins for the store
/// and the executors.
class Cluster {
public:
  /// \p MaxAttempts is that of the only queue.
  Cluster(Record &Log, int Entries, int Executors, int MaxAttempts,
          Executor::Planner Plan);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  /// Ends all processes.
  ~Cluster();

  /// Waits until all entry hosts are ready and the executors have been
  /// announced. Returns false when that takes too long.
  bool waitReady();

  Store &store() { return *Store_; }
  Executor &executor(std::size_t Index) { return *Executors_[Index]; }
  std::size_t executorCount() const { return Executors_.size(); }
  std::size_t entryCount() const { return EntryCount_; }
  /// Returns the path between an entry host and the store.
  Proxy &storePath(std::size_t Entry) { return *StorePaths_[Entry]; }
  /// Returns the executors' runs of a job, in the order of their start.
  std::vector<RunHistory> runsOf(const std::string &Job) const;

  /// Sends SIGKILL to an entry host and starts it again after \p Pause.
  void killEntry(std::size_t Entry, milliseconds Pause);

  /// Sends a client's call to an entry host. Returns the status, or 0 without
  /// an answer.
  unsigned submit(std::size_t Entry, const std::string &Job,
                  const std::string &Body);
  unsigned cancel(std::size_t Entry, const std::string &Job);
  /// Returns the state of a job, or UnknownState.
  std::string state(std::size_t Entry, const std::string &Job);

private:
  struct Node {
    std::string Name_;
    std::string SettingsPath_;
    std::uint16_t FrontPort_ = 0;
    std::uint16_t ReadyPort_ = 0;
    int Pid_ = 0;
  };

  void addEntry(std::size_t Index, const std::string &Seeds,
                std::uint16_t ControlPort);
  void addAgent(std::size_t Index, const std::string &Seeds,
                const ExecutorSettings &Settings);
  void writeSettings(Node &Target, const std::string &Template,
                     const std::map<std::string, std::string> &Values) const;
  void startProcess(Node &Target);
  void endProcess(Node &Target);
  std::optional<HttpResponse> call(std::size_t Entry, const std::string &Method,
                                   const std::string &Job,
                                   const std::string &Body);

  Record &Log_;
  std::string Folder_;
  std::size_t EntryCount_;
  std::unique_ptr<Store> Store_;
  std::vector<std::unique_ptr<Proxy>> StorePaths_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  std::vector<Node> Nodes_;
};

/// Runs \p Case and turns its result into an exit code: whether the rule held,
/// or nothing when the case could not run. The arguments are the folder of the
/// case and whether it runs with or without its disruption.
int runCase(int Argc, char **Argv,
            const std::function<std::optional<bool>(Record &, bool)> &Case);

/// Waits until \p Condition holds; returns whether it did within \p Limit.
bool waitUntil(const std::function<bool()> &Condition, milliseconds Limit);

} // namespace review
