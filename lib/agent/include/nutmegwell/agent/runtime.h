#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/net/address.h"
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::agent {

/// Interface to the platform's runtime on a worker. Tests replace it by a mock.
/// Calls block until the runtime answers or the call times out.
struct WorkerRuntime {
  /// Fails with the step "connect" when the call was not sent.
  std::function<absl::Status(const StartTask &)> Start_;
  std::function<absl::Status(const StopTask &)> Stop_;
  /// Renews the leases of the given tasks and returns all tasks.
  std::function<absl::StatusOr<std::vector<RuntimeTask>>(const ListTasks &)>
      List_;
};

/// Returns the interface to a runtime that serves HTTP at \p Server.
WorkerRuntime httpRuntime(const net::Address &Server);

} // namespace nutmegwell::agent
