#pragma once

#include "platformstore.h"
#include "platformworker.h"
#include "process.h"
#include "tcpproxy.h"
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace soak {

/// Waits on a condition variable until a time has passed or interrupt() is
/// called. After interrupt(), every wait returns at once.
class InterruptibleWait {
public:
  void wait(std::chrono::milliseconds Duration) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_for(Lock, Duration, [this] { return Interrupted_; });
  }
  void interrupt() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Interrupted_ = true;
    Changed_.notify_all();
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Interrupted_ = false;
};

/// Runs the daemons as processes on loopback, and test doubles of the
/// platform's store and workers in this process.
class SoakCluster {
public:
  /// \p ExtraArguments are added to the arguments of every process.
  SoakCluster(int EntryCount, int WorkerCount, std::uint64_t Seed,
              std::vector<std::string> ExtraArguments = {});
  ~SoakCluster();

  /// Waits until the readiness endpoint of every entry host returns 200.
  /// Returns false if that takes longer than \p Limit.
  bool waitReady(std::chrono::seconds Limit);

  /// Returns the number of nodes. Entry hosts have the first indices, agents
  /// the ones after them.
  std::size_t nodeCount() const { return Nodes_.size(); }
  std::size_t entryCount() const { return EntryCount_; }
  /// Returns the address at which an entry host serves callers.
  net::Address callerAddress(std::size_t Entry) const {
    return Nodes_[Entry].CallerAddress_;
  }
  /// Returns the address at which an entry host serves peers and agents,
  /// without the proxy.
  net::Address peersAddress(std::size_t Entry) const {
    return Nodes_[Entry].PeersAddress_;
  }
  /// Returns the address at which the worker of agent node \p Node announces
  /// itself.
  net::Address noticeAddress(std::size_t Node) const {
    return Nodes_[Node].NoticeAddress_;
  }
  net::Address metricsAddress(std::size_t Node) const {
    return Nodes_[Node].MetricsAddress_;
  }
  /// Returns the process of a running node.
  pid_t processId(std::size_t Node) const {
    return Nodes_[Node].Process_->id();
  }

  void kill(std::size_t Node);
  void stop(std::size_t Node);
  void suspend(std::size_t Node);
  void resume(std::size_t Node);
  /// Starts a node whose process has ended; does nothing if it is running.
  void restart(std::size_t Node);
  bool isRunning(std::size_t Node) const {
    return Nodes_[Node].Process_ != nullptr;
  }

  PlatformStore &store() { return *Store_; }
  PlatformWorker &worker(std::size_t Index) { return *Workers_[Index]; }
  std::size_t workerCount() const { return Workers_.size(); }
  TcpProxy &proxy(std::size_t Entry) { return *Nodes_[Entry].Proxy_; }
  HistoryRecorder &history() { return History_; }
  /// Prints the output lines of all processes, those of restarted nodes'
  /// earlier processes included.
  void printLogs();

private:
  struct Node {
    std::vector<std::string> Arguments_;
    net::Address CallerAddress_;
    net::Address ReadinessAddress_;
    net::Address PeersAddress_;
    net::Address NoticeAddress_;
    net::Address MetricsAddress_;
    std::unique_ptr<TcpProxy> Proxy_;
    std::unique_ptr<e2e::Process> Process_;
    std::vector<std::string> EarlierLines_;
  };

  static net::Address reserveAddress();
  void addEntry(int Index);
  void addWorker(int Index, std::uint64_t Seed);
  void endProcess(Node &Target, int Signal);

  std::size_t EntryCount_;
  std::vector<std::string> ExtraArguments_;
  aio::Loop Loop_;
  HistoryRecorder History_;
  std::unique_ptr<PlatformStore> Store_;
  std::vector<std::unique_ptr<PlatformWorker>> Workers_;
  std::vector<Node> Nodes_;
  std::string SeedAddresses_;
  std::thread Thread_;
};

} // namespace soak
