#pragma once

#include "nutmegwell/settings/settings.h"

namespace nutmegwelld {

/// Run one role until a stop signal. Return the exit code.
int runEntry(const nutmegwell::settings::Settings &Values);
int runAgent(const nutmegwell::settings::Settings &Values);

} // namespace nutmegwelld
