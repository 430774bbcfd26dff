#pragma once

#include "fakelinks.h"
#include "fakeworker.h"
#include "nutmegwell/site/agent.h"
#include "nutmegwell/site/entry.h"
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace nutmegwell::site {

/// First link number of agents; links between entry hosts have lower ones.
constexpr LinkId FirstAgentLink = 1000;
/// Most failed runs of a task.
constexpr std::uint32_t FakeAttempts = 2;

/// Simulates the durable store as the platform specifies it, with its faults.
class FakeStore {
public:
  struct Writer {
    std::uint64_t Epoch_ = 0;
    std::uint64_t NextSequence_ = 0;
    core::Offset LastOffset_ = 0;
  };

  store::AppendOutcome append(const store::AppendRequest &Request);
  /// Appends a record to the operator's stream.
  void publish(const std::string &Key, const std::string &Value);
  absl::StatusOr<store::ReadPage> read(store::Stream Which,
                                       core::Offset From) const;
  store::NewestRecordsPage newest(store::Stream Which) const;

  std::map<store::Stream, std::vector<store::KeyedRecord>> Records_;
  std::map<std::string, Writer> Writers_;
  /// Hosts whose calls the store refuses; "*" for all.
  std::set<std::string> RefusedHosts_;
  /// Keys of records that the store does not take.
  std::set<std::string> RejectedKeys_;
  /// Appends take effect, but their responses are lost.
  bool LosesResponses_ = false;
  /// Reads get no response, as on a connection that delivers nothing any more;
  /// of all hosts, or of some.
  bool DropsReads_ = false;
  std::set<std::string> SilentHosts_;
  /// Number of reads by host.
  std::map<std::string, std::size_t> ReadCounts_;
  /// If not zero, appends get no response and take effect after this delay.
  core::Duration ApplyDelay_{0};
  /// Records of a stream at lower offsets are dropped, except the newest of
  /// each key.
  std::map<store::Stream, core::Offset> FirstRetainedOffsets_;
  /// Time that the pages of newest records take to arrive, by host.
  std::map<std::string, core::Duration> PageDelays_;

  /// Drops all records except the newest of each key.
  void dropHistory() {
    for (const auto &[Which, Log] : Records_)
      FirstRetainedOffsets_[Which] = Log.size();
  }
  /// Sets the first retained offset of all streams.
  void dropRecordsBefore(core::Offset First) {
    for (store::Stream Which : {store::Stream::Operator, store::Stream::Cell})
      FirstRetainedOffsets_[Which] = First;
  }

  bool refuses(const std::string &Host) const {
    return RefusedHosts_.count("*") || RefusedHosts_.count(Host);
  }
};

/// Simulates a site: entry hosts that share a FakeStore, agents with their
/// workers, and the network. Every message takes one step of 10 ms.
class FakeSite {
public:
  explicit FakeSite(int Hosts, bool VacatesWorkers = false);

  EntryState &entry(const std::string &Host) { return *Hosts_.at(Host); }
  /// Starts a host, or a new process of one that has ended.
  void start(const std::string &Host);
  void kill(const std::string &Host);
  /// Requests a graceful stop of a host.
  void stop(const std::string &Host);
  bool runs(const std::string &Host) const {
    return Hosts_.count(Host) + Agents_.count(Host) > 0;
  }
  /// Suspends a process; what it receives meanwhile is delivered after resume.
  void pause(const std::string &Host) { Paused_.insert(Host); }
  void resume(const std::string &Host) { Paused_.erase(Host); }

  /// Adds a worker and starts its agent.
  void addWorker(const std::string &Host, const std::string &Domain,
                 double ClockRate);
  AgentState &agent(const std::string &Host) { return Agents_.at(Host).State_; }
  FakeWorker &worker(const std::string &Host) { return Workers_.at(Host); }
  /// Ends the process of a worker, which refuses connections until it starts
  /// again.
  void crashWorker(const std::string &Host);
  void startWorker(const std::string &Host);
  void startAgent(const std::string &Host);
  void killAgent(const std::string &Host);
  /// Sets the share of orders to workers that get no response and are carried
  /// out 2 to 12 s later.
  void setLateOrders(double Share) { LateOrderShare_ = Share; }
  /// Sets the share of orders that workers carry out at once, but whose
  /// responses are lost.
  void setLostResponses(double Share) { LostResponseShare_ = Share; }
  /// Lets late orders reach a worker that has restarted meanwhile.
  void setLateOrdersSurviveRestarts(bool Value) {
    LateOrdersSurviveRestarts_ = Value;
  }
  /// Takes a failure domain out of service or back in.
  void setDomainOutOfService(const std::string &Domain, bool Out);
  /// Drops all messages to and from a host until reconnect.
  void isolate(const std::string &Host) { Isolated_.insert(Host); }
  void reconnect(const std::string &Host) { Isolated_.erase(Host); }
  /// Drops all messages between two hosts until restoreLink.
  void cutLink(const std::string &Host, const std::string &Other) {
    CutLinks_.insert(std::minmax(Host, Other));
  }
  void restoreLink(const std::string &Host, const std::string &Other) {
    CutLinks_.erase(std::minmax(Host, Other));
  }

  void run(core::Duration Span);

  /// Sends a caller's request to a host. Its reply will be in Replies_ under
  /// the returned token.
  CallToken call(const std::string &Host, RequestKind Kind,
                 const std::string &Job);
  /// Submits a job with the given specification.
  CallToken submit(const std::string &Host, const std::string &Job,
                   const jobs::JobSpec &Spec,
                   core::Duration Timeout = std::chrono::seconds(3));
  /// Returns the kind of the reply, or nothing before it arrives.
  std::optional<ReplyKind> replyKind(CallToken Token) const;

  /// Returns the hosts that hold the cell.
  std::vector<std::string> holders() const;

  FakeStore Store_;
  FakeLinks Links_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  std::map<CallToken, CallerReply> Replies_;
  std::vector<core::LogEvent> LogEvents_;
  /// Figures for metrics that each entry host has given last.
  std::map<std::string, cell::SpeedFigures> SpeedFigures_;
  /// Events at callers, workers, holders and the operator.
  std::vector<history::Event> Events_;

private:
  using Delivery = std::function<void()>;

  struct Agent {
    AgentState State_;
    /// The connection to an entry host, or 0, and the name of that host.
    LinkId Link_ = 0;
    std::string EntryHost_;
    bool LinkOpen_ = false;
  };

  EntryCodec codec();
  void record(const std::string &Process, history::EventBody Body);
  void recordReply(const std::string &Host, const CallerReply &Reply);
  void schedule(core::Duration After, Delivery Item);
  CallToken send(const std::string &Host, CallerRequest Request);
  void applyEffects(const std::string &Host, EntryEffects &&Out);
  void deliver(const std::string &To,
               std::function<void(EntryState &, EntryEffects &)>);
  void send(const std::string &From, const std::string &To,
            const cell::PeerMessage &Message);
  /// Delivers the response to a call, unless the calling process has ended.
  void deliverResponse(const std::string &To, core::Incarnation Incarnation,
                       std::function<void(EntryState &, EntryEffects &)>);
  /// Transfers a message of \p Size bytes, or delivers it at once to a host
  /// whose link is not limited.
  void transfer(const std::string &To, const std::string &Connection,
                std::size_t Size, Delivery Item);
  /// Transfers the response to a read, unless the read times out before.
  void transferPage(const std::string &Host, core::Incarnation Incarnation,
                    const ReadCall &Call,
                    const absl::StatusOr<store::ReadPage> &Page);
  /// Responds to a read when a record is available, or at \p Until.
  void respondToRead(const std::string &Host, core::Incarnation Incarnation,
                     const ReadCall &Call, core::TimePoint Until);
  void deliverNewest(const std::string &Host, core::Incarnation Incarnation,
                     const ReadNewestCall &Call,
                     const absl::StatusOr<store::NewestRecordsPage> &Page);
  void append(const std::string &Host, const AppendCall &Call);
  void sendToAgent(const std::string &From, LinkId Link,
                   const cell::PeerMessage &Message);

  bool isConnected(const std::string &Host, const std::string &Other) const {
    return !Isolated_.count(Host) && !Isolated_.count(Other) &&
           !CutLinks_.count(std::minmax(Host, Other));
  }
  void deliverToAgent(const std::string &Host, core::Incarnation Incarnation,
                      std::function<void(AgentState &, AgentEffects &)>);
  void applyEffects(const std::string &Host, AgentEffects &&Out);
  void dial(const std::string &Host, const std::string &Entry);
  void closeLink(const std::string &Host);
  void callWorker(const std::string &Host, const WorkerCall &Call);
  void runWorkers();

  /// Holders stop the runs that draining workers would take with them.
  const bool VacatesWorkers_;
  std::map<std::string, std::unique_ptr<EntryState>> Hosts_;
  std::map<std::string, Agent> Agents_;
  std::map<std::string, FakeWorker> Workers_;
  std::set<std::string> EndedWorkers_;
  std::set<std::string> Isolated_;
  std::set<std::pair<std::string, std::string>> CutLinks_;
  std::set<std::string> Paused_;
  std::multimap<core::TimePoint, Delivery> Deliveries_;
  std::mt19937_64 Random_{1};
  double LateOrderShare_ = 0;
  double LostResponseShare_ = 0;
  bool LateOrdersSurviveRestarts_ = false;
  LinkId NextLink_ = FirstAgentLink;
  /// Jobs and kinds of calls, and newest terms by entry host.
  std::map<CallToken, std::pair<std::string, RequestKind>> SentCalls_;
  std::map<std::string, core::Term> Terms_;
  std::map<std::string, jobs::Record> EncodedRecords_;
  core::Incarnation NextIncarnation_ = 1;
  std::uint64_t NextConnection_ = 1;
  CallToken NextToken_ = 1;
};

} // namespace nutmegwell::site
