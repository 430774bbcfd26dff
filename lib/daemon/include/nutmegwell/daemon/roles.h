#pragma once

#include "nutmegwell/settings/settings.h"

namespace nutmegwell::daemon {

/// Blocks the stop signals SIGTERM and SIGINT, so that the roles can wait for
/// them. Call before any thread starts.
void blockStopSignals();

/// Run one role until a stop signal. Return the exit code; throw
/// std::runtime_error when an address cannot be bound.
int runEntry(const settings::Settings &Values);
int runAgent(const settings::Settings &Values);

} // namespace nutmegwell::daemon
