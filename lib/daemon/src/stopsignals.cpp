#include "stopsignals.h"

#include "nutmegwell/daemon/roles.h"
#include "nutmegwell/settings/logging.h"
#include <csignal>
#include <pthread.h>
#include <thread>
#include <unistd.h>

namespace nutmegwell::daemon {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

void blockStopSignals() {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

void runGracefulStop(const std::function<void()> &Stop,
                     const std::function<std::string()> &DescribeInterrupted) {
  std::thread([DescribeInterrupted] {
    waitForStopSignal();
    settings::logStateChange("stopped_at_once",
                             {{"cut", DescribeInterrupted()}});
    _exit(1);
  }).detach();
  Stop();
}

} // namespace nutmegwell::daemon
