#pragma once

#include "executor.h"
#include "record.h"
#include "store.h"
#include <csignal>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace loopback {

/// A process of the deploy file on a host of its own.
struct Host {
  std::string Name_;
  std::string Zone_;
  std::string Role_;
  std::string SettingsPath_;
  std::string LogPath_;
  /// Ports that the settings name, by field.
  std::map<std::string, std::uint16_t> Ports_;
  pid_t Pid_ = 0;
};

/// Small deployment on 127.0.0.1: the project's processes, the stand-ins of the
/// store and of the executors, and a client.
class Deployment {
public:
  /// Writes the record to \p Folder, and settings and logs to a temporary
  /// folder.
  explicit Deployment(const std::string &Folder);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  /// Adds an entry host; to be called before any agent is added.
  Host &addEntry(const std::string &Name, const std::string &Zone);

  /// Adds an executor and its agent.
  Executor &addExecutor(const std::string &Zone,
                        std::vector<std::string> Labels);

  /// Publishes the configuration, starts all processes and waits until every
  /// entry host is ready and the executors are known. Returns false when that
  /// takes too long.
  bool start();

  void launch(Host &Target);
  void signal(Host &Target, int Signal, const char *Word);

  /// Waits until the process has ended.
  static void waitForEnd(Host &Target);

  bool waitReady(Host &Target, Milliseconds Limit);

  /// Returns the term of the newest tenure that an entry host has logged, or 0.
  /// The host with the highest one holds the cell.
  static long newestTerm(const Host &Target);

  Host &entry(std::size_t Index) { return *Entries_[Index]; }
  Store &store() { return Store_; }
  Record &record() { return Record_; }

  /// Sends a client's request to an entry host and waits for the answer for as
  /// long as the client has, 3 s.
  Answer request(const Host &Target, const std::string &Method,
                 const std::string &Path, const std::string &Body = "");

  /// Hands in the job \p Id with one step. Its tasks run for \p Length.
  Answer submit(const Host &Target, const std::string &Id, Milliseconds Length,
                const std::string &MoreStepFields = "");

  /// Returns the state that an entry host states for a job, or the status when
  /// it states none.
  std::string state(const Host &Target, const std::string &Id);

private:
  std::string fillTemplate(const Host &Target) const;

  Record Record_;
  std::string TemporaryFolder_;
  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_;
  Store Store_;
  std::vector<std::unique_ptr<Host>> Entries_;
  std::vector<std::unique_ptr<Host>> Agents_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  std::thread Thread_;
};

/// Makes SIGTERM and SIGINT end this program and all processes that it started.
void endProcessesOnSignal();

/// Waits until \p Condition holds; returns false when it does not within
/// \p Limit.
bool waitUntil(const std::function<bool()> &Condition, Milliseconds Limit);

} // namespace loopback
