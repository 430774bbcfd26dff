#pragma once

#include "nutmegwell/site/agent.h"
#include "nutmegwell/site/entry.h"
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace nutmegwell::site {

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
  store::NewestPage newest(store::Stream Which) const;

  std::map<store::Stream, std::vector<store::KeyedRecord>> Records_;
  std::map<std::string, Writer> Writers_;
  /// Hosts that the store refuses; "*" for all.
  std::set<std::string> Refused_;
  /// Appends are done and their answers lost.
  bool LosesAnswers_ = false;
  /// Offsets below are dropped, but for the newest of each key.
  core::Offset FirstRetained_ = 0;

  bool refuses(const std::string &Host) const {
    return Refused_.count("*") || Refused_.count(Host);
  }
};

/// Entry hosts that share a FakeStore and a network played by the test. All
/// messages take one step of 10 ms.
class FakeSite {
public:
  explicit FakeSite(int Hosts);

  EntryState &entry(const std::string &Host) { return *Hosts_.at(Host); }
  /// Starts a host, or a new process of one that has ended.
  void start(const std::string &Host);
  void kill(const std::string &Host) { Hosts_.erase(Host); }
  /// Cuts all messages to and from a host.
  void cut(const std::string &Host) { Cut_.insert(Host); }
  void heal(const std::string &Host) { Cut_.erase(Host); }

  void run(core::Duration Span);

  /// Sends a caller's request to a host; answers are in Replies_ by token.
  CallToken call(const std::string &Host, CallKind Kind,
                 const std::string &Job);
  /// Returns the answer's kind, or nothing before it.
  std::optional<ReplyKind> answer(CallToken Token) const;

  /// Hosts that hold the cell.
  std::vector<std::string> holders() const;

  FakeStore Store_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  std::map<CallToken, CallerReply> Replies_;
  std::vector<core::Decision> Decisions_;

private:
  using Delivery = std::function<void()>;

  EntryCodec codec();
  void carryOut(const std::string &Host, EntryEffects &&Out);
  void deliver(const std::string &To,
               std::function<void(EntryState &, EntryEffects &)>);
  void send(const std::string &From, const std::string &To,
            const cell::PeerMessage &Message);

  std::map<std::string, std::unique_ptr<EntryState>> Hosts_;
  std::set<std::string> Cut_;
  std::vector<Delivery> Next_;
  std::map<std::string, jobs::Record> Encoded_;
  core::Incarnation NextProcess_ = 1;
  CallToken NextToken_ = 1;
};

} // namespace nutmegwell::site
