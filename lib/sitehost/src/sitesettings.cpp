#include "nutmegwell/sitehost/roles.h"

namespace nutmegwell::sitehost {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// The smallest of the maximum leases on the users' data sheets.
constexpr seconds DefaultMaxLease(6);
/// The longest stop of a run on the users' data sheets.
constexpr milliseconds DefaultStopTime(900);
/// The grace period on the users' data sheets.
constexpr seconds DefaultStopGrace(6);

} // namespace

settings::SettingsSpec siteSettings() {
  settings::SettingsSpecBuilder Builder(
      "nutmegwelld", "Runs a role of nutmegwell on the users' platform.");
  Builder
      .choice(
          "role", {"site-entry", "site-agent"}, "",
          "site-entry: takes jobs from callers and places them; site-agent: "
          "runs beside a worker")
      .required()
      .text("node", "", "name of this host, unique in the site")
      .required()
      .text("domain", "", "failure domain of this host")
      .required()
      .listenAddress("callers-listen", "address for callers")
      .requiredWhen("role", "site-entry")
      .listenAddress("ready-listen", "address that reports whether this "
                                     "host is ready for callers")
      .requiredWhen("role", "site-entry")
      .listenAddress("peers-listen", "address for entry hosts and agents")
      .requiredWhen("role", "site-entry")
      .address("peers-address", "address at which peers and agents reach this "
                                "host, peers-listen when not set")
      .listenAddress("worker-listen",
                     "address at which the worker announces itself")
      .requiredWhen("role", "site-agent")
      .address("worker-address", "address of the worker on this host")
      .requiredWhen("role", "site-agent")
      .listenAddress("metrics-listen", "address of /metrics, none when not set")
      .addressList("seeds", "peer addresses of some entry hosts")
      .address("approval-address", "address of the service that approves "
                                   "workers, none when not set")
      .address("store-address", "address of the platform's store")
      .requiredWhen("role", "site-entry");
  Builder
      .duration("max-hold", DefaultMaxLease, milliseconds(500), minutes(10),
                "longest task lease that a worker accepts")
      .duration("stop-grace", DefaultStopGrace, milliseconds(500), minutes(10),
                "time between the signal to stop and the kill")
      .count("remote-penalty", 3, 1, 1000,
             "factor by which a task takes longer on a rack without its data")
      .duration("stop-time", DefaultStopTime, milliseconds(1), minutes(1),
                "longest time that a worker takes to stop a run")
      .optionalCount("memory-limit", 16, 1048576,
                     "memory that this process may use; not bounded by it when "
                     "not set")
      .unit("MB")
      .optionalCount("descriptor-limit", 64, 1048576,
                     "file descriptors that this process may use; not bounded "
                     "by it when not set")
      .unit("descriptors")
      .flag("learn-run-times", "learn the speed of workers and the run time of "
                               "tasks, and place work by them")
      .flag("fair-shares", "let accounts that have used less lately go first "
                           "among jobs of one priority")
      .flag("reserve-for-gangs",
            "keep a place for the first gang that does not fit")
      .flag("refuse-hopeless-jobs",
            "refuse jobs that would end after three times their objective")
      .flag("vacate-leaving-workers", "stop runs that would be lost with a "
                                      "draining worker")
      .choice("log-format", {"text", "json"}, "json", "format of log lines")
      .choice("log-level", {"error", "warning", "info"}, "info",
              "minimum level of log lines")
      .count("log-queue", 2000, 10, 1000000,
             "maximum number of queued log lines; further lines are dropped "
             "and counted")
      .unit("lines");
  return Builder.build();
}

} // namespace nutmegwell::sitehost
