#pragma once

#include "nutmegwell/net/http.h"
#include "process.h"
#include <atomic>
#include <cxxtools/serializationinfo.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace e2e {

using nutmegwell::net::Address;
using nutmegwell::net::HttpResponse;

/// Shorter times than the defaults, so that a fault is noticed sooner. Every
/// ratio between them stays as it is by default.
extern const std::vector<std::string> FastTimes;

/// Ports of the loopback address that the kernel chose, so that tests side by
/// side do not get the same one. Each is held for TCP until the end, also while
/// its daemon is down, and for UDP until the process that uses it starts.
class HeldPorts {
public:
  ~HeldPorts();
  Address hold();
  void releaseUdp(const Address &Held);

private:
  /// By port, the sockets for TCP and UDP; the latter is -1 once released.
  std::map<std::uint16_t, std::pair<int, int>> Sockets_;
};

/// The daemons and stand-ins of one test on the loopback address.
class Cluster {
public:
  explicit Cluster(std::vector<std::string> Times = FastTimes);

  void startLog(std::size_t Retention = 100000);
  /// Starts entry host number \p Number of \p Entries (from 1).
  Process &startEntry(int Number);
  /// Starts an agent and the runtime of a worker with 8 accelerators.
  void startWorker(const std::string &Name, const std::string &Domain,
                   const std::string &Rack);
  /// Starts an agent and the upstream beside it. The agent sends its heartbeats
  /// to \p Entries, or to the entry hosts when that is empty.
  void startUpstream(const std::string &Name, const std::string &Domain,
                     const std::string &Service,
                     std::vector<std::string> Flags = {},
                     const std::string &Entries = "");

  /// Returns the address at which an entry host that was started serves
  /// callers.
  const Address &httpAddress(int Entry) const {
    return Addresses_.at(Entry).Http_;
  }

  /// Returns the UDP addresses of all entry hosts.
  std::vector<Address> entryAddresses() const;

  /// Waits until an entry host gives \p Text in its status. Returns false at
  /// the limit.
  bool waitStatus(int Entry, const std::string &Text,
                  std::chrono::milliseconds Limit = std::chrono::seconds(30));

  nutmegwell::core::Duration timeout() const {
    return std::chrono::seconds(20);
  }

  /// Sets faults of the log, as in "outage=0&slow_ms=100".
  void setLogFaults(const std::string &Faults);

  /// Sends one request to an entry host. Status 0 means no answer.
  HttpResponse call(int Entry, const std::string &Method,
                    const std::string &Path, const std::string &Body = "",
                    const std::string &Key = "");

  /// Publishes a pools table with one row of account "acc" and service "svc"
  /// for each domain, and the route /svc. Returns false for a refusal.
  bool publishTables(int Entry, const std::vector<std::string> &Domains,
                     const std::string &RouteFields = "");

  /// Submits a gang; returns its id, or an empty string for a refusal.
  std::string submit(int Entry, int Tasks, int Accelerators,
                     const std::string &Level, const std::string &Command,
                     const std::string &Class = "normal",
                     const std::string &Account = "acc");
  /// Waits for a job's end; returns its state.
  std::string waitJob(int Entry, const std::string &Id,
                      std::chrono::milliseconds Limit);
  std::string jobState(int Entry, const std::string &Id);

  /// Counts lines of all runtimes (or of those in \p Domain) or upstreams.
  int countStarts(const std::string &Text, const std::string &Domain = "");
  int countRuns(const std::string &Text);

  static constexpr int Entries = 2;

  /// Submissions whose outcome is unknown.
  std::atomic<int> UnknownJobs_{0};

  std::unique_ptr<Process> Log_;
  std::map<int, std::unique_ptr<Process>> EntryHosts_;
  std::map<std::string, std::unique_ptr<Process>> Agents_;
  std::map<std::string, std::unique_ptr<Process>> Runtimes_;
  std::map<std::string, std::unique_ptr<Process>> Upstreams_;
  std::map<std::string, std::string> DomainOf_;
  std::map<std::string, std::string> RackOf_;
  Address LogAddress_;

private:
  /// Publishes one table. Prints the answer of a refusal and returns false.
  bool publish(int Entry, const std::string &Table, const std::string &Rows);
  bool waitAnswer(int Entry, const std::string &Path, const std::string &Text,
                  std::chrono::milliseconds Limit);
  struct EntryAddresses {
    Address Http_, Udp_, Tcp_;
  };
  std::string entryList(int Except) const;
  Process &startAgent(const std::string &Name, const std::string &Domain,
                      std::vector<std::string> Flags,
                      const std::string &EntryList = "");
  std::unique_ptr<Process> launch(const std::string &Program,
                                  const std::vector<std::string> &Flags,
                                  const std::vector<Address> &Listens,
                                  const std::string &ReadyLine);

  const std::vector<std::string> Times_;
  HeldPorts Ports_;
  std::map<int, EntryAddresses> Addresses_;
};

/// Returns a member of a JSON object as text; empty when there is none.
std::string member(const std::string &Json, const std::string &Name);

} // namespace e2e
