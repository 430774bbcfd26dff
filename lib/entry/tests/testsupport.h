#pragma once

#include "nutmegwell/agent/requestserver.h"
#include "nutmegwell/entry/requestservice.h"
#include "nutmegwell/wire/json.h"
#include <atomic>
#include <condition_variable>
#include <cppunit/TestAssert.h>
#include <future>
#include <mutex>

namespace nutmegwell::test {

/// Blocks threads in pass() until the gate is opened, and lets a test wait
/// until a number of them have arrived.
class Gate {
public:
  void pass() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    ++Arrived_;
    Changed_.notify_all();
    Changed_.wait(Lock, [this] { return Open_; });
  }
  void awaitArrivals(int Count) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    CPPUNIT_ASSERT(Changed_.wait_for(Lock, std::chrono::seconds(20),
                                     [&] { return Arrived_ >= Count; }));
  }
  void open() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Open_ = true;
    Changed_.notify_all();
  }
  int arrived() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Arrived_;
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  int Arrived_ = 0;
  bool Open_ = false;
};

/// Opens a gate at the end of its scope, so that no thread blocks forever when
/// the test fails early. Must be declared after the futures of the blocked
/// threads.
struct GateOpener {
  Gate &Gate_;
  ~GateOpener() { Gate_.open(); }
};

/// An in-memory log with one control state, shared by all entry hosts of a
/// test. Loses appends or their results on request.
struct FakeLog {
  enum class Mode { Works, LosesAppends, LosesResults };

  absl::StatusOr<model::FoldResult> submit(model::RecordBody Body) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++AppendCount_;
    const absl::Status Lost = core::makeError(absl::StatusCode::kUnavailable,
                                              "append", "log", "no answer");
    if (Mode_ == Mode::LosesAppends)
      return Lost;
    model::Record Added{{1, ++RecordCount_}, std::move(Body)};
    model::FoldResult Result =
        model::applyRecord(ControlState_, Added, RecordCount_);
    if (Mode_ == Mode::LosesResults)
      return Lost;
    return Result;
  }
  std::optional<model::Intent> find(const model::IntentKey &Key) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Found = ControlState_.Intents_.find(Key);
    return Found == ControlState_.Intents_.end()
               ? std::nullopt
               : std::optional<model::Intent>(Found->second);
  }
  void setMode(Mode Value) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Mode_ = Value;
  }
  routing::IntentStore store() {
    routing::IntentStore Store;
    Store.Submit_ = [this](model::RecordBody Body, core::Duration) {
      return submit(std::move(Body));
    };
    Store.Find_ = [this](const model::IntentKey &Key) { return find(Key); };
    return Store;
  }

  std::mutex Mutex_;
  model::ControlState ControlState_;
  Mode Mode_ = Mode::Works;
  std::uint64_t RecordCount_ = 0;
  int AppendCount_ = 0;
};

/// Publishes routing snapshots that a test can change.
struct SnapshotPublisher {
  SnapshotPublisher() {
    Value_.LogAvailable_ = true;
    Value_.Routes_.Rows_ = {
        {"/s", "s", std::chrono::seconds(60), false, 64},
        {"/i", "s", std::chrono::seconds(60), true, 64},
    };
    Value_.Pools_.Rows_.resize(1);
    Value_.Pools_.Rows_[0].Account_ = "a";
    Value_.Pools_.Rows_[0].Service_ = "s";
    Value_.Pools_.Rows_[0].RequestLimit_ = 64;
  }
  /// Changes the snapshot under the lock and publishes it.
  void change(const std::function<void(routing::RoutingSnapshot &)> &Function) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Function(Value_);
    Published_ = std::make_shared<const routing::RoutingSnapshot>(Value_);
  }
  void addAgent(const std::string &Name, core::Incarnation Incarnation,
                const std::string &Address, std::uint32_t Slots) {
    change([&](routing::RoutingSnapshot &Value) {
      Value.Upstreams_.push_back(
          {Name, Incarnation, "d", "s", Address, Slots, 0, true});
    });
  }
  routing::SnapshotSource source() {
    return [this] {
      std::lock_guard<std::mutex> Lock(Mutex_);
      return Published_;
    };
  }

  std::mutex Mutex_;
  routing::RoutingSnapshot Value_;
  std::shared_ptr<const routing::RoutingSnapshot> Published_ =
      std::make_shared<const routing::RoutingSnapshot>();
};

inline net::HttpRequest get(const std::string &Path) {
  net::HttpRequest Request;
  Request.Path_ = Path;
  Request.Headers_ = {{"X-Client-Account", "a"}};
  return Request;
}

inline net::HttpRequest post(const std::string &Key) {
  net::HttpRequest Request = get("/s/x");
  Request.Method_ = "POST";
  Request.Headers_.emplace_back("Idempotency-Key", Key);
  Request.Body_ = Key;
  return Request;
}

/// Returns "STATUS OUTCOME CODE" for an error, or "STATUS BODY" for an answer.
inline std::string summary(const net::HttpResponse &Response) {
  std::string Result = std::to_string(Response.Status_) + " ";
  auto Parsed = wire::parseJson(Response.Body_);
  if (!Parsed.ok() || wire::textMember(*Parsed, "outcome").empty())
    return Result + Response.Body_;
  return Result + wire::textMember(*Parsed, "outcome") + " " +
         wire::textMember(*Parsed, "code");
}

/// Fails, with the caller's file and line, unless the answer to \p Request has
/// the summary \p Expected.
inline void expect(const std::string &Expected, entry::RequestService &Service,
                   const net::HttpRequest &Request,
                   const char *File = __builtin_FILE(),
                   int Line = __builtin_LINE()) {
  CPPUNIT_NS::assertEquals(Expected, summary(Service.handle(Request)),
                           CPPUNIT_NS::SourceLine(File, Line), "");
}

} // namespace nutmegwell::test
