#include "nutmegwell/settings/daemon.h"

namespace nutmegwell::settings {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// Default times, as docs/design.md describes the protocol.

/// Interval of the heartbeats on which the node states rest.
constexpr seconds HeartbeatInterval(1);
/// Two heartbeats may be lost, and half of one may be late.
constexpr milliseconds SilentAfter(2500);
/// Six heartbeats; the tasks of the node are lost from then on.
constexpr seconds LapseAfter(6);
/// Three times the 2 s after which a holder renews its claim.
constexpr seconds CellLease(6);
/// The start permit and the freshness of the holder's view of the log (1 s)
/// must together stay within the 3 s in which a domain stops starting tasks.
constexpr seconds StartPermit(2);
/// Bound for the tasks of a worker that nobody reaches, in docs/design.md.
constexpr seconds TaskLease(15);
/// 4 appends a second for each writer, by the measurement in docs/design.md.
constexpr milliseconds AppendInterval(250);
/// Lets urgent work start within 5.7 s by preemption, see docs/operators.md.
constexpr seconds CheckpointGrace(3);
/// Latency objective of the burn report until an operator sets one.
constexpr seconds ObjectiveLatency(1);

void addPlace(SettingsSpecBuilder &Builder) {
  Builder
      .choice("role", {"entry", "agent"}, "",
              "entry: takes requests and places jobs; agent: runs beside an "
              "upstream or a worker")
      .required()
      .text("node", "", "name of this host, unique in the region")
      .required()
      .text("domain", "", "failure domain of this host")
      .required()
      .choice("kind", {"worker", "upstream"}, "", "what the agent runs beside")
      .requiredWhen("role", "agent")
      .text("rack", "", "rack of the worker")
      .requiredWhen("kind", "worker")
      .count("accelerators", 0, 0, 64, "accelerators of the worker");
}

void addAddresses(SettingsSpecBuilder &Builder) {
  Builder.address("log-address", "HTTP address of the platform's log service")
      .requiredWhen("role", "entry")
      .text("log-stream", "nutmegwell", "stream of the log to use")
      .listenAddress("http-listen",
                     "entry: address for callers and operators; agent: address "
                     "that serves /metrics, none when not set")
      .requiredWhen("role", "entry")
      .listenAddress("udp-listen", "address for heartbeats and gang messages")
      .required()
      .listenAddress("tcp-listen",
                     "entry: address for peers that load the state; agent: "
                     "address for request frames")
      .required()
      .addressList("entries",
                   "UDP addresses of the entry hosts; entry: of the others")
      .requiredWhen("role", "agent")
      .addressList("peers", "TCP state addresses of the other entry hosts")
      .address("runtime-address", "HTTP address of the worker runtime")
      .requiredWhen("kind", "worker")
      .listenAddress("announce-listen",
                     "address at which upstreams on this host announce "
                     "themselves")
      .requiredWhen("kind", "upstream");
}

void addTimes(SettingsSpecBuilder &Builder) {
  Builder
      .duration("heartbeat-interval", HeartbeatInterval, milliseconds(50),
                seconds(60), "time between two heartbeats")
      .duration("silent-after", SilentAfter, milliseconds(100), minutes(5),
                "a node that is silent for this long gets no new work")
      .duration("lapse-after", LapseAfter, milliseconds(200), minutes(10),
                "a node that is silent for this long has lost its tasks")
      .duration("cell-lease", CellLease, milliseconds(200), minutes(10),
                "validity of a cell's claim without renewal")
      .duration("start-permit", StartPermit, milliseconds(100), StartPermit,
                "validity of the permission to start tasks")
      .duration("task-lease", TaskLease, seconds(1), minutes(10),
                "validity of a running task without renewal")
      .duration("append-interval", AppendInterval, milliseconds(0), seconds(1),
                "least time between two appends of renewals and request keys")
      .duration("checkpoint-grace", CheckpointGrace, milliseconds(0),
                minutes(10), "time that a preempted task has for a checkpoint")
      .shorter("heartbeat-interval", "silent-after")
      .shorter("heartbeat-interval", "start-permit")
      .shorter("silent-after", "lapse-after");
}

void addBounds(SettingsSpecBuilder &Builder) {
  Builder.count("max-body", 1 << 20, 1, 1 << 30, "largest request body")
      .unit("bytes")
      .count("max-connections", 256, 1, 65536, "connections served at one time")
      .count("max-queue", 4096, 16, 1 << 20,
             "events that may wait for the control thread")
      .duration("objective-latency", ObjectiveLatency, milliseconds(1),
                hours(24), "burn report: a slower answer counts as an error")
      .count("objective-errors", 100, 1, 100000,
             "burn report: errors that the objective allows")
      .unit("errors per 100000 requests")
      .choice("log-format", {"text", "json"}, "text",
              "form of the lines on standard output")
      .choice("log-level", {"error", "warning", "info"}, "info",
              "least severe level that is logged");
}

} // namespace

SettingsSpec daemonSettings() {
  SettingsSpecBuilder Builder(
      "nutmegwelld", "Schedules jobs and routes requests; runs on entry hosts "
                     "and beside each upstream and worker.");
  addPlace(Builder);
  addAddresses(Builder);
  addTimes(Builder);
  addBounds(Builder);
  return Builder.build();
}

} // namespace nutmegwell::settings
