#pragma once

#include "common.h"
#include "control.h"
#include "logwriter.h"
#include "nutmegwell/aio/link.h"
#include "nutmegwell/aio/loop.h"
#include "seedwatch.h"
#include <csignal>
#include <functional>
#include <string>

namespace nutmegwell::sitehost {

/// What a process of either site role consists of besides its role.
struct RoleProcess {
  explicit RoleProcess(const settings::Settings &Settings)
      : Values_(Settings),
        Log_(static_cast<std::size_t>(Settings.count("log-queue")), All_) {}

  const settings::Settings &Values_;
  core::Clock Clock_ = core::bootClock();
  metrics::Registry All_;
  LogWriter Log_;
  aio::Loop Loop_;
};

/// Runs the loop between the log's lines of start and stop, with the control
/// thread, the look for new seeds and the metrics. SIGHUP reads the settings
/// again; \p OnStop is called with each signal to stop.
template <typename Effects>
void runRole(RoleProcess &Process, const std::string &Role,
             core::Incarnation Incarnation, SeedWatch &Seeds,
             ControlThread<Effects> &Control, std::function<void()> OnStop) {
  const std::string Host = Process.Values_.text("node");
  const auto Metrics =
      serveMetrics(Process.Loop_, Process.Values_, Process.All_);
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
  Seeds.start(SeedLookInterval);
  Control.start();
  Process.Loop_.run();
  Control.stop();
  Process.Log_.write({{"stopped", {{"host", Host}}}});
}

/// Puts \p Seeds into the settings of a role on the control thread.
template <typename Settings, typename Effects>
void takeSeeds(Settings &Target, const std::vector<std::string> &Seeds,
               ControlThread<Effects> &Control) {
  Control.post(
      [&Target, Seeds](core::TimePoint, Effects &) { Target.Seeds_ = Seeds; });
}

/// Decodes a frame and hands it to \p Take on the control thread; closes the
/// link of a malformed one.
template <typename Effects, typename Function>
void takeFrame(RoleProcess &Process, aio::Links &Links, aio::LinkId Link,
               const std::string &Frame, ControlThread<Effects> &Control,
               Function Take) {
  auto Message = readFrame(Frame, Process.All_);
  if (!Message)
    return Links.close(Link);
  Control.post(
      [Take, Message = *std::move(Message)](core::TimePoint Now, Effects &Out) {
        Take(Message, Now, Out);
      });
}

} // namespace nutmegwell::sitehost
