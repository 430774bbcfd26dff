#pragma once

#include "common.h"
#include "control.h"
#include "logwriter.h"
#include "nutmegwell/aio/link.h"
#include "nutmegwell/aio/loop.h"
#include "resourcelimits.h"
#include "seedwatch.h"
#include <csignal>
#include <functional>
#include <string>

namespace nutmegwell::sitehost {

/// The parts that the processes of both site roles have in common.
struct RoleProcess {
  explicit RoleProcess(const settings::Settings &Settings)
      : Values_(Settings),
        Log_(static_cast<std::size_t>(Settings.count("log-queue")), Metrics_),
        Limits_(readLimits(Settings)),
        Guard_(std::make_shared<aio::InputGuard>(Loop_, Limits_.Input_,
                                                 refusalHandler("request"))) {
    Handled_.MaxBytes_ = Limits_.MaxHandled_;
  }

  static ResourceLimits readLimits(const settings::Settings &Settings) {
    constexpr std::size_t BytesPerMb = 1000000;
    std::optional<std::size_t> Memory;
    if (Settings.has("memory-limit"))
      Memory =
          BytesPerMb * static_cast<std::size_t>(Settings.count("memory-limit"));
    std::optional<std::size_t> Descriptors;
    if (Settings.has("descriptor-limit"))
      Descriptors =
          static_cast<std::size_t>(Settings.count("descriptor-limit"));
    return resourceLimits(Memory, Descriptors);
  }

  /// Returns a handler that counts and logs the refusals of \p Input.
  aio::RefusalHandler refusalHandler(const std::string &Input) {
    return [this, Input](aio::InputRefusal Cause, const std::string &Peer) {
      Metrics_
          .counter("nutmegwell_input_refused_total",
                   "Requests and links refused or closed by cause",
                   {{"input", Input}, {"cause", aio::name(Cause)}})
          .add();
      if (auto Event = refusalEvent(Refusals_, Input, Cause, Peer,
                                    core::steadyClock().Now_()))
        Log_.write({*std::move(Event)});
    };
  }

  const settings::Settings &Values_;
  core::Clock Clock_ = core::bootClock();
  metrics::Registry Metrics_;
  LogWriter Log_;
  aio::Loop Loop_;
  // Used by the traffic thread only.
  ResourceLimits Limits_;
  HandledMemory Handled_;
  RefusalLog Refusals_;
  std::shared_ptr<aio::InputGuard> Guard_;
};

/// Counts a request that takes \p Bytes until it is answered. Returns the
/// responder to use for it, or nothing when the request was refused instead,
/// which has had no effect. Call it on the traffic thread.
std::optional<aio::Responder> admitRequest(RoleProcess &Process,
                                           std::size_t Bytes,
                                           const aio::Responder &Respond);

/// Returns the histograms of a process's control thread.
inline ControlTimes controlTimes(metrics::Registry &Metrics) {
  return {Metrics.quantiles("nutmegwell_control_wait_seconds",
                            "Time that the first event of a step waited for "
                            "the control thread"),
          Metrics.quantiles("nutmegwell_control_step_seconds",
                            "Time of a step of the control thread")};
}

/// Starts the control thread, the seed checks and the metrics server, and runs
/// the loop until it is stopped. Logs start and stop. SIGHUP reads the settings
/// again; \p OnStop is called for each SIGTERM or SIGINT.
template <typename Effects>
void runRole(RoleProcess &Process, const std::string &Role,
             core::Incarnation Incarnation, SeedWatch &Seeds,
             ControlThread<Effects> &Control, std::function<void()> OnStop) {
  const std::string Host = Process.Values_.text("node");
  const auto MetricsServer = serveMetrics(Process.Loop_, Process.Values_,
                                          Process.Metrics_, Process.Guard_);
  Process.Loop_.onSignals({SIGTERM, SIGINT, SIGHUP},
                          [&Seeds, OnStop](int Signal) {
                            if (Signal == SIGHUP)
                              Seeds.reload();
                            else
                              OnStop();
                          });
  Process.Log_.write({{"started",
                       {{"role", Role},
                        {"host", Host},
                        {"process", std::to_string(Incarnation)}}}});
  Seeds.start(SeedCheckInterval);
  Control.start();
  Process.Loop_.run([&Process](const std::exception &Error) {
    Process.Log_.write({{"event_failed", {{"error", Error.what()}}}});
  });
  Control.stop();
  Process.Log_.write({{"stopped", {{"host", Host}}}});
}

/// Sets the seeds in the settings of a role, on the control thread.
template <typename Settings, typename Effects>
void postSeeds(Settings &Target, const std::vector<std::string> &Seeds,
               ControlThread<Effects> &Control) {
  Control.post(
      [&Target, Seeds](core::TimePoint, Effects &) { Target.Seeds_ = Seeds; });
}

/// Decodes a frame and passes its message and the time of its arrival to
/// \p Handle on the control thread.
/// Closes the link when the frame is malformed.
template <typename Effects, typename Function>
void dispatchFrame(RoleProcess &Process, aio::Links &Links, aio::LinkId Link,
                   const std::string &Frame, ControlThread<Effects> &Control,
                   Function Handle) {
  auto Message = readFrame(Frame, Process.Metrics_);
  if (!Message)
    return Links.close(Link);
  Control.post(
      [Handle, Message = *std::move(Message),
       ArrivedAt = Process.Clock_.Now_()](core::TimePoint Now, Effects &Out) {
        Handle(Message, ArrivedAt, Now, Out);
      });
}

} // namespace nutmegwell::sitehost
