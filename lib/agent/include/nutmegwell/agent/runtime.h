#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/net/address.h"
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::agent {

/// The platform's runtime on a worker; a test fills it with a mock. Calls may
/// block for as long as the runtime takes.
struct WorkerRuntime {
  /// Fails with the step "connect" when the runtime was not asked.
  std::function<absl::Status(const StartTask &)> Start_;
  std::function<absl::Status(const StopTask &)> Stop_;
  /// Renews the given leases and returns all tasks.
  std::function<absl::StatusOr<std::vector<RuntimeTask>>(const ListTasks &)>
      List_;
};

/// Returns the runtime reached over HTTP at \p Server.
WorkerRuntime httpRuntime(const net::Address &Server);

} // namespace nutmegwell::agent
