#pragma once

#include "nutmegwell/settings/spec.h"

namespace nutmegwell::settings {

/// Returns the specification of the settings of nutmegwelld.
SettingsSpec daemonSettings();

} // namespace nutmegwell::settings
