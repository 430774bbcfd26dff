#pragma once

#include "fakeworker.h"
#include "nutmegwell/site/agent.h"
#include "nutmegwell/site/entry.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace nutmegwell::site {

/// Links of agents have higher numbers than those between entry hosts.
constexpr LinkId FirstAgentLink = 1000;
/// Most runs of a task that may fail.
constexpr std::uint32_t FakeAttempts = 2;

/// The durable store as the platform describes it, with its faults.
class FakeStore {
public:
  struct Writer {
    std::uint64_t Epoch_ = 0;
    std::uint64_t Next_ = 0;
    core::Offset Last_ = 0;
  };

  store::AppendOutcome append(const store::AppendRequest &Request);
  /// Publishes a record of the operator.
  void publish(const std::string &Key, const std::string &Value);
  absl::StatusOr<store::ReadPage> read(store::Stream Which,
                                       core::Offset From) const;
  store::NewestRecordsPage newest(store::Stream Which) const;

  std::map<store::Stream, std::vector<store::KeyedRecord>> Records_;
  std::map<std::string, Writer> Writers_;
  /// Hosts that the store refuses; "*" for all.
  std::set<std::string> Refused_;
  /// Appends are done and their answers lost.
  bool LosesAnswers_ = false;
  /// Appends get no answer and are done this much later.
  core::Duration LateBy_{0};
  /// Offsets below are dropped, but for the newest of each key.
  core::Offset FirstRetained_ = 0;

  bool refuses(const std::string &Host) const {
    return Refused_.count("*") || Refused_.count(Host);
  }
};

/// Entry hosts that share a FakeStore, agents with their workers, and a network
/// played by the test. All messages take one step of 10 ms.
class FakeSite {
public:
  explicit FakeSite(int Hosts);

  EntryState &entry(const std::string &Host) { return *Hosts_.at(Host); }
  /// Starts a host, or a new process of one that has ended.
  void start(const std::string &Host);
  void kill(const std::string &Host);
  /// Asks a host to stop.
  void stop(const std::string &Host);
  bool runs(const std::string &Host) const {
    return Hosts_.count(Host) + Agents_.count(Host) > 0;
  }
  /// The process neither runs nor loses what reaches it until it is thawed.
  void freeze(const std::string &Host) { Frozen_.insert(Host); }
  void thaw(const std::string &Host) { Frozen_.erase(Host); }

  /// Adds a worker and starts its agent.
  void addWorker(const std::string &Host, const std::string &Domain,
                 double ClockRate);
  AgentState &agent(const std::string &Host) { return Agents_.at(Host).State_; }
  FakeWorker &worker(const std::string &Host) { return Workers_.at(Host); }
  void startAgent(const std::string &Host);
  void killAgent(const std::string &Host);
  /// Share of orders to workers that get no answer and are carried out 2 to
  /// 12 s later.
  void setLateOrders(double Share) { LateOrders_ = Share; }
  /// Takes a failure domain out of service or back in.
  void setDomainOut(const std::string &Domain, bool Out);
  /// Cuts all messages to and from a host.
  void cut(const std::string &Host) { Cut_.insert(Host); }
  void heal(const std::string &Host) { Cut_.erase(Host); }

  void run(core::Duration Span);

  /// Sends a caller's request to a host; answers are in Replies_ by token.
  CallToken call(const std::string &Host, RequestKind Kind,
                 const std::string &Job);
  /// The same with a specification of the job.
  CallToken submit(const std::string &Host, const std::string &Job,
                   const jobs::JobSpec &Spec);
  /// Returns the answer's kind, or nothing before it.
  std::optional<ReplyKind> answer(CallToken Token) const;

  /// Hosts that hold the cell.
  std::vector<std::string> holders() const;

  FakeStore Store_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  std::map<CallToken, CallerReply> Replies_;
  std::vector<core::LogEvent> LogEvents_;
  /// What callers, workers and holders saw.
  std::vector<history::Event> Events_;

private:
  using Delivery = std::function<void()>;

  struct Agent {
    AgentState State_;
    /// Its connection to an entry host, and that host; 0 for none.
    LinkId Link_ = 0;
    std::string Entry_;
    bool Open_ = false;
  };

  EntryCodec codec();
  void record(const std::string &Process, history::EventBody Body);
  void recordReply(const std::string &Host, const CallerReply &Reply);
  void later(core::Duration After, Delivery Item);
  CallToken send(const std::string &Host, CallerRequest Request);
  void carryOut(const std::string &Host, EntryEffects &&Out);
  void deliver(const std::string &To,
               std::function<void(EntryState &, EntryEffects &)>);
  void send(const std::string &From, const std::string &To,
            const cell::PeerMessage &Message);
  /// The same for the answer to a call of one process.
  void answer(const std::string &To, core::Incarnation Process,
              std::function<void(EntryState &, EntryEffects &)>);
  void append(const std::string &Host, const AppendCall &Call);
  void sendToAgent(const std::string &From, LinkId Link,
                   const cell::PeerMessage &Message);

  bool isCut(const std::string &Host) const { return Cut_.count(Host) > 0; }
  void deliverToAgent(const std::string &Host, core::Incarnation Process,
                      std::function<void(AgentState &, AgentEffects &)>);
  void carryOut(const std::string &Host, AgentEffects &&Out);
  void dial(const std::string &Host, const std::string &Entry);
  void closeLink(const std::string &Host);
  void callWorker(const std::string &Host, const WorkerCall &Call);
  void runWorkers();

  std::map<std::string, std::unique_ptr<EntryState>> Hosts_;
  std::map<std::string, Agent> Agents_;
  std::map<std::string, FakeWorker> Workers_;
  std::set<std::string> Cut_;
  std::set<std::string> Frozen_;
  std::multimap<core::TimePoint, Delivery> Deliveries_;
  std::mt19937_64 Random_{1};
  double LateOrders_ = 0;
  LinkId NextLink_ = FirstAgentLink;
  /// Jobs and kinds of calls, and newest terms by entry host.
  std::map<CallToken, std::pair<std::string, RequestKind>> CallJobs_;
  std::map<std::string, core::Term> Terms_;
  std::map<std::string, jobs::Record> Encoded_;
  core::Incarnation NextProcess_ = 1;
  CallToken NextToken_ = 1;
};

} // namespace nutmegwell::site
