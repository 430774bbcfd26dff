#pragma once

#include <functional>
#include <string>

namespace nutmegwell::daemon {

/// Waits for the first stop signal.
void waitForStop();

/// Calls \p Stop. A second stop signal before it returns ends the process at
/// once with exit code 1, after logging what \p CutOff says.
void runStop(const std::function<void()> &Stop,
             const std::function<std::string()> &CutOff);

} // namespace nutmegwell::daemon
