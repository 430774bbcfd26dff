#pragma once

#include <functional>
#include <string>

namespace nutmegwell::daemon {

/// Blocks until a stop signal (SIGTERM or SIGINT) arrives.
void waitForStopSignal();

/// Calls \p Stop. Another stop signal before it returns ends the process
/// immediately with exit code 1; the text from \p DescribeInterrupted, which
/// names the interrupted work, is logged first.
void runGracefulStop(const std::function<void()> &Stop,
                     const std::function<std::string()> &DescribeInterrupted);

} // namespace nutmegwell::daemon
