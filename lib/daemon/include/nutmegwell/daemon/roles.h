#pragma once

#include "nutmegwell/settings/settings.h"

namespace nutmegwell::daemon {

/// Blocks the stop signals SIGTERM and SIGINT, so that the roles can wait for
/// them, and ignores SIGPIPE. Must be called before any thread is created,
/// since threads inherit the signal mask.
void blockStopSignals();

/// Run the entry host or the agent until a stop signal arrives. Return the exit
/// code of the process. Throw std::runtime_error when an address cannot be
/// bound.
int runEntry(const settings::Settings &Values);
int runAgent(const settings::Settings &Values);

} // namespace nutmegwell::daemon
