#include "nutmegwell/settings/daemon.h"

namespace nutmegwell::settings {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// Default timeouts and intervals of the protocols in docs/design.md.

/// Interval of the heartbeats from which the node states are derived.
constexpr seconds HeartbeatInterval(1);
/// Tolerates two lost heartbeats and a delay of half a heartbeat interval.
constexpr milliseconds SuspectAfter(2500);
/// Six heartbeat intervals. The tasks of an unreachable node count as lost.
constexpr seconds UnreachableAfter(6);
/// Three times the 2 s after which a holder renews its lease.
constexpr seconds CellLease(6);
/// The sum of the start permit and the maximum age of the holder's view of the
/// log (1 s) must not exceed the 3 s within which task starts stop in a domain
/// that is taken out of service.
constexpr seconds StartPermit(2);
/// Longest time that tasks run on an unreachable worker; see docs/design.md.
constexpr seconds TaskLease(15);
/// Limits each writer to 4 appends per second; docs/design.md gives the reason.
constexpr milliseconds AppendInterval(250);
/// With this value, urgent jobs start by preemption within 5.7 s; see
/// docs/operators.md.
constexpr seconds CheckpointGrace(3);
/// Default latency objective of the burn rate report.
constexpr seconds ObjectiveLatency(1);

void addHostIdentity(SettingsSpecBuilder &Builder) {
  Builder
      .choice("role", {"entry", "agent"}, "",
              "entry: accepts requests and places jobs; agent: runs on the "
              "host of an upstream or a worker")
      .required()
      .text("node", "", "name of this host, unique in the region")
      .required()
      .text("domain", "", "failure domain of this host")
      .required()
      .choice("kind", {"worker", "upstream"}, "",
              "process that the agent serves")
      .requiredWhen("role", "agent")
      .text("rack", "", "rack of the worker")
      .requiredWhen("kind", "worker")
      .count("accelerators", 0, 0, 64, "accelerators of the worker");
}

void addAddresses(SettingsSpecBuilder &Builder) {
  Builder.address("log-address", "HTTP address of the platform's log service")
      .requiredWhen("role", "entry")
      .text("log-stream", "nutmegwell", "name of the log stream")
      .listenAddress("http-listen",
                     "entry: HTTP address for callers and operators; agent: "
                     "HTTP address for /metrics, not served if not set")
      .requiredWhen("role", "entry")
      .listenAddress("udp-listen",
                     "UDP address for heartbeats and gang messages")
      .required()
      .listenAddress("tcp-listen",
                     "entry: TCP address from which other entry hosts load the "
                     "state; agent: TCP address for request frames")
      .required()
      .addressList("entries",
                   "agent: UDP addresses of all entry hosts; entry: those of "
                   "the other entry hosts")
      .requiredWhen("role", "agent")
      .addressList("peers",
                   "TCP addresses of the other entry hosts, from which the "
                   "state is loaded")
      .address("runtime-address", "HTTP address of the worker runtime")
      .requiredWhen("kind", "worker")
      .listenAddress("announce-listen",
                     "address at which upstreams on this host announce "
                     "themselves")
      .requiredWhen("kind", "upstream");
}

void addTimeouts(SettingsSpecBuilder &Builder) {
  Builder
      .duration("heartbeat-interval", HeartbeatInterval, milliseconds(50),
                seconds(60), "interval between heartbeats")
      .duration("silent-after", SuspectAfter, milliseconds(100), minutes(5),
                "a node without heartbeats for this long is suspect and "
                "gets no new work")
      .duration("lapse-after", UnreachableAfter, milliseconds(200), minutes(10),
                "a node without heartbeats for this long is unreachable and "
                "its tasks count as lost")
      .duration("cell-lease", CellLease, milliseconds(200), minutes(10),
                "validity of a cell lease without renewal")
      .duration("start-permit", StartPermit, milliseconds(100), StartPermit,
                "validity of a permit to start tasks")
      .duration("task-lease", TaskLease, seconds(1), minutes(10),
                "validity of the lease of a running task without renewal")
      .duration("append-interval", AppendInterval, milliseconds(0), seconds(1),
                "minimum interval between appends of lease renewals and "
                "request keys")
      .duration("checkpoint-grace", CheckpointGrace, milliseconds(0),
                minutes(10),
                "grace period in which a preempted task may write a "
                "checkpoint")
      .requireShorter("heartbeat-interval", "silent-after")
      .requireShorter("heartbeat-interval", "start-permit")
      .requireShorter("silent-after", "lapse-after");
}

void addLimits(SettingsSpecBuilder &Builder) {
  Builder
      .count("max-body", 1 << 20, 1, 1 << 30, "maximum size of a request body")
      .unit("bytes")
      .count("max-connections", 256, 1, 65536,
             "maximum number of concurrent connections")
      .count("max-queue", 4096, 16, 1 << 20,
             "maximum number of events queued for the control thread")
      .duration("objective-latency", ObjectiveLatency, milliseconds(1),
                hours(24),
                "burn rate report: a slower response counts as an error")
      .count("objective-errors", 100, 1, 100000,
             "burn rate report: error budget of the objective")
      .unit("errors per 100000 requests")
      .choice("log-format", {"text", "json"}, "text",
              "format of the log lines on standard output")
      .choice("log-level", {"error", "warning", "info"}, "info",
              "least severe level that is written to the log");
}

} // namespace

SettingsSpec daemonSettings() {
  SettingsSpecBuilder Builder(
      "nutmegwelld",
      "Schedules jobs and routes requests. Runs on entry hosts and, as an "
      "agent, on the host of each upstream and worker.");
  addHostIdentity(Builder);
  addAddresses(Builder);
  addTimeouts(Builder);
  addLimits(Builder);
  return Builder.build();
}

} // namespace nutmegwell::settings
