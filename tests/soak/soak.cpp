#include "crowd.h"
#include "nutmegwell/history/rules.h"
#include "soakcluster.h"
#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace soak;
using namespace std::chrono_literals;

namespace {

constexpr int EntryCount = 3;
constexpr int WorkerCount = 4;
constexpr auto LoadDuration = 10s;
/// The input budget of a process is an eighth of it, 8 MB.
constexpr int MemoryLimitMb = 64;
/// Twice the time in which 3 s leases and a 6 s tenure expire and a new holder
/// takes over.
constexpr auto JobsEndTimeout = 30s;
/// Required by users: every entry host serves requests within this time after
/// the last fault.
constexpr auto ReadyTimeout = 12s;

/// Failed runs allowed per task; equals max_attempts in the operator's record.
constexpr std::uint32_t MaxFailedRuns = 3;

/// What the callers submitted, and whether an entry host accepted it.
struct SubmittedJob {
  std::size_t Queue_ = 0;
  bool Accepted_ = false;
};

/// Returns the bounds of the history checks. Jobs are queried only after the
/// faults have ended, so an accepted job has ReadyTimeout to become known.
history::Bounds checkBounds() {
  history::Bounds Bounds;
  Bounds.Visible_ = ReadyTimeout;
  return Bounds;
}

net::HttpRequest request(const std::string &Method, const std::string &Path) {
  net::HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Headers_ = {{"Host", "site"},
                      {"Api-Key", "key"},
                      {"X-Nutmegwell-Deadline-Ms", "2000"}};
  return Request;
}

/// Result of queryState() for a job that the entry host does not know.
constexpr char UnknownJobState[] = "status 410";

std::string jobId(std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

class Soak {
public:
  Soak(std::uint64_t Seed, bool Verbose)
      : Seed_(Seed), Verbose_(Verbose),
        Cluster_(EntryCount, WorkerCount, Seed,
                 {"--memory-limit=" + std::to_string(MemoryLimitMb)}) {}

  /// Returns a message for each violation; empty if the run passed.
  std::vector<std::string> run() {
    if (!Cluster_.waitReady(20s))
      return {"the entry hosts did not become ready before the load"};
    std::thread Faults([this] { injectFaults(); });
    std::thread Misuse([this] { sendIncompleteBodies(); });
    std::thread Callers([this] { submitJobs(); });
    Callers.join();
    LoadEnded_ = true;
    Pause_.interrupt();
    Faults.join();
    Misuse.join();
    recover();
    queryJobs();
    check();
    if (!Violations_.empty() && Verbose_)
      Cluster_.printLogs();
    return Violations_;
  }

private:
  void submitJobs() {
    std::mt19937_64 Random(Seed_);
    const auto End = std::chrono::steady_clock::now() + LoadDuration;
    InterruptibleWait Between;
    for (std::uint64_t I = 1; std::chrono::steady_clock::now() < End; ++I) {
      submit(jobId(Seed_ << 20 | I), Random);
      Between.wait(std::chrono::milliseconds(50 + Random() % 250));
    }
  }

  void submit(const std::string &Job, std::mt19937_64 &Random) {
    SubmittedJob View;
    View.Queue_ = Random() % 2;
    const bool AlwaysFails = Random() % 20 == 0;
    const std::string Length = std::to_string(100 + Random() % 900);
    const auto Tasks = static_cast<std::uint32_t>(1 + Random() % 4);
    const std::string Accelerators = std::to_string(1 + Random() % 4);
    recordEvent(history::StepDeclared{Job, 0, Tasks, MaxFailedRuns, false});
    net::HttpRequest Request =
        request("POST", "/q" + std::to_string(View.Queue_) + "/" + Job);
    Request.Body_ = R"({"task_spec":")" + Accelerators +
                    (AlwaysFails ? " fail" : " ") + Length +
                    R"(","steps":[{"count":)" + std::to_string(Tasks) +
                    R"(,"cpu":1000,"mem_mb":1000,"gpu":)" + Accelerators +
                    R"(,"estimated_duration_ms":)" + Length + "}]}";
    constexpr int MaxSubmissions = 3;
    for (int Submission = 0; Submission < MaxSubmissions && !View.Accepted_;
         ++Submission) {
      const std::size_t Entry = Random() % EntryCount;
      recordEvent(history::JobSubmitted{Job, "entry" + std::to_string(Entry)});
      net::HttpClient Client(Cluster_.callerAddress(Entry));
      auto Response = Client.call(Request, 2s);
      const unsigned Status = Response.ok() ? Response->Status_ : 0;
      View.Accepted_ = Status == 200;
      // A request that failed while connecting was never sent, so the entry
      // host cannot have accepted the job.
      const bool NotSent =
          !Response.ok() && core::stepOf(Response.status()) == "connect";
      if (View.Accepted_)
        recordEvent(history::JobAccepted{Job});
      else if (Status == 503 || NotSent)
        recordEvent(history::JobRefused{Job});
      if (Response.ok() && Status != 200 && Status != 503 && Status != 504)
        addViolation("submission of job " + Job + " got status " +
                     std::to_string(Status));
    }
    std::lock_guard<std::mutex> Lock(Mutex_);
    Jobs_[Job] = View;
  }

  /// Lets crowds of clients, one after the other, send bodies that stop short
  /// and together exceed the input budget of an entry host.
  void sendIncompleteBodies() {
    std::mt19937_64 Random(Seed_ * 104729 + 1);
    constexpr std::size_t BodySize = 262144;
    constexpr std::size_t ClientCount = 40;
    limits::ClientPlan Plan;
    Plan.Head_ = "POST /q0/00000000000000aa HTTP/1.1\r\nHost: site\r\n"
                 "Api-Key: key\r\nContent-Length: " +
                 std::to_string(BodySize) + "\r\n\r\n";
    Plan.Repeated_ = std::string(1000, 'x');
    Plan.Size_ = Plan.Head_.size() + BodySize - 1;
    while (!LoadEnded_) {
      limits::Crowd Clients(Cluster_.callerAddress(Random() % EntryCount),
                            ClientCount, Plan);
      Clients.run();
      Pause_.wait(std::chrono::milliseconds(500));
    }
  }

  void injectFaults() {
    std::mt19937_64 Random(Seed_ * 7919 + 1);
    while (!LoadEnded_) {
      injectFault(Random);
      Pause_.wait(std::chrono::milliseconds(100 + Random() % 700));
    }
  }

  void injectFault(std::mt19937_64 &Random) {
    const std::size_t Node = Random() % Cluster_.nodeCount();
    const std::size_t Entry = Random() % Cluster_.entryCount();
    const auto Duration = std::chrono::milliseconds(200 + Random() % 2500);
    const std::uint64_t Kind = Random() % 8;
    if (Verbose_)
      std::cout << "fault " << Kind << " node " << Node << " for "
                << Duration.count() << " ms\n";
    switch (Kind) {
    case 0:
      Cluster_.kill(Node);
      Pause_.wait(Duration);
      Cluster_.restart(Node);
      break;
    case 1:
      Cluster_.stop(Node);
      Cluster_.restart(Node);
      break;
    case 2:
      Cluster_.suspend(Node);
      Pause_.wait(Duration);
      Cluster_.resume(Node);
      break;
    case 3: {
      constexpr StoreMode Modes[] = {
          StoreMode::Unavailable, StoreMode::Unresponsive,
          StoreMode::DropsAppendResponses, StoreMode::Slow};
      Cluster_.store().setMode(Modes[Random() % 4]);
      Pause_.wait(Duration);
      Cluster_.store().setMode(StoreMode::Up);
      break;
    }
    case 4:
      Cluster_.store().dropHistory();
      break;
    case 5: {
      constexpr ProxyMode Modes[] = {ProxyMode::Delay, ProxyMode::DropToServer,
                                     ProxyMode::DropToClient};
      Cluster_.proxy(Entry).setMode(Modes[Random() % 3]);
      Pause_.wait(Duration);
      Cluster_.proxy(Entry).setMode(ProxyMode::PassThrough);
      break;
    }
    case 6:
      Cluster_.proxy(Entry).setMode(Random() % 2 ? ProxyMode::StallOpen
                                                 : ProxyMode::ResetOpen);
      break;
    default: {
      PlatformWorker &Worker =
          Cluster_.worker(Random() % Cluster_.workerCount());
      Worker.setDelayedOrderShare(0.3);
      Pause_.wait(Duration);
      Worker.setDelayedOrderShare(0);
      break;
    }
    }
  }

  /// Ends all faults and waits up to JobsEndTimeout until an entry host shows
  /// the end of every accepted job, and then until all entry hosts do, for the
  /// time within which users are promised to see a change at every host.
  void recover() {
    Cluster_.store().setMode(StoreMode::Up);
    for (std::size_t I = 0; I < Cluster_.entryCount(); ++I)
      Cluster_.proxy(I).setMode(ProxyMode::PassThrough);
    for (std::size_t I = 0; I < Cluster_.workerCount(); ++I)
      Cluster_.worker(I).setDelayedOrderShare(0);
    for (std::size_t I = 0; I < Cluster_.nodeCount(); ++I) {
      Cluster_.resume(I);
      Cluster_.restart(I);
    }
    if (!Cluster_.waitReady(ReadyTimeout))
      addViolation(
          "an entry host did not become ready in time after the faults");
    waitUntil([this] { return showsAllEnds(0); }, JobsEndTimeout, 500ms);
    Agreement_ = waitUntil(
        [this] {
          for (std::size_t I = 0; I < Cluster_.entryCount(); ++I)
            if (!showsAllEnds(I))
              return false;
          return true;
        },
        history::Bounds().Visible_, 20ms);
  }

  /// Waits until \p Condition holds or for \p Timeout, testing it every
  /// \p Interval. Returns the time taken.
  static core::Duration waitUntil(const std::function<bool()> &Condition,
                                  core::Duration Timeout,
                                  core::Duration Interval) {
    const auto Begin = std::chrono::steady_clock::now();
    InterruptibleWait Between;
    while (!Condition() && std::chrono::steady_clock::now() < Begin + Timeout)
      Between.wait(core::wholeMilliseconds(Interval));
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::steady_clock::now() - Begin);
  }

  std::string queryState(const std::string &Job, std::size_t Queue,
                         std::size_t Entry) {
    net::HttpClient Client(Cluster_.callerAddress(Entry));
    auto Response = Client.call(
        request("GET", "/q" + std::to_string(Queue) + "/" + Job), 2s);
    if (!Response.ok())
      return "no answer";
    if (Response->Status_ != 200)
      return "status " + std::to_string(Response->Status_);
    const std::size_t At = Response->Body_.find(":\"") + 2;
    return Response->Body_.substr(At, Response->Body_.find('"', At) - At);
  }

  /// Returns whether an entry host shows every accepted job as ended.
  bool showsAllEnds(std::size_t Entry) {
    return std::all_of(Jobs_.begin(), Jobs_.end(), [&](const auto &Row) {
      if (!Row.second.Accepted_)
        return true;
      const std::string State = queryState(Row.first, Row.second.Queue_, Entry);
      return State == "completed" || State == "failed";
    });
  }

  /// Records the state that each entry host reports for each accepted job.
  void queryJobs() {
    for (const auto &[Job, View] : Jobs_) {
      Accepted_ += View.Accepted_;
      for (std::size_t I = 0; View.Accepted_ && I < Cluster_.entryCount();
           ++I) {
        const std::string State = queryState(Job, View.Queue_, I);
        const std::string Host = "entry" + std::to_string(I);
        if (State == UnknownJobState)
          Cluster_.history().add(Host, history::JobShown{Job, ""});
        else
          Cluster_.history().add(Host, history::JobShown{Job, State});
      }
    }
  }

  void check() {
    const history::History Run =
        history::makeHistory(Cluster_.history().events(), true);
    for (const history::Event &Event : Run.Events_)
      StartCount_ += std::holds_alternative<history::RunStarted>(Event.Body_);
    for (const history::Violation &Found :
         history::checkSite(Run, checkBounds()))
      addViolation(Found.Rule_ + ": " + Found.Message_);
  }

  void recordEvent(history::EventBody Body) {
    Cluster_.history().add("caller", std::move(Body));
  }

  void addViolation(std::string Message) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Violations_.push_back(std::move(Message));
  }

public:
  std::size_t jobCount() const { return Jobs_.size(); }
  std::size_t acceptedCount() const { return Accepted_; }
  std::size_t startCount() const { return StartCount_; }
  /// Time from the first entry host that showed all ends to the last one.
  core::Duration agreement() const { return Agreement_; }

private:
  std::uint64_t Seed_;
  bool Verbose_;
  SoakCluster Cluster_;
  InterruptibleWait Pause_;
  std::atomic<bool> LoadEnded_{false};
  std::mutex Mutex_;
  std::map<std::string, SubmittedJob> Jobs_;
  std::vector<std::string> Violations_;
  std::size_t Accepted_ = 0;
  std::size_t StartCount_ = 0;
  core::Duration Agreement_{0};
};

} // namespace

int main(int Argc, char **Argv) {
  std::uint64_t Seed = 1;
  std::uint64_t Seeds = 1;
  bool Verbose = false;
  for (int I = 1; I < Argc; ++I) {
    const std::string Name = Argv[I];
    if (Name == "--verbose")
      Verbose = true;
    else if (I + 1 < Argc && Name == "--seed")
      Seed = std::stoull(Argv[++I]);
    else if (I + 1 < Argc && Name == "--seeds")
      Seeds = std::stoull(Argv[++I]);
  }
  std::size_t FailedSeeds = 0;
  for (std::uint64_t I = Seed; I < Seed + Seeds; ++I) {
    Soak Run(I, Verbose);
    const std::vector<std::string> Violations = Run.run();
    std::cout << "seed " << I << ": " << Run.acceptedCount() << " of "
              << Run.jobCount() << " jobs accepted, " << Run.startCount()
              << " starts, hosts agree after "
              << core::wholeMilliseconds(Run.agreement()).count() << " ms, "
              << Violations.size() << " violations\n";
    for (const std::string &Line : Violations)
      std::cout << "  " << Line << "\n";
    FailedSeeds += !Violations.empty();
    std::cout.flush();
  }
  return FailedSeeds == 0 ? 0 : 1;
}
