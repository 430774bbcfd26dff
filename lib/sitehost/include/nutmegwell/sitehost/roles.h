#pragma once

#include "nutmegwell/settings/settings.h"
#include "nutmegwell/sitehost/ports.h"
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::sitehost {

/// Returns the settings of the roles site-entry and site-agent.
settings::SettingsSpec siteSettings();

/// Reads the current settings again; called on SIGHUP and at intervals.
using SettingsReader = std::function<absl::StatusOr<settings::Settings>()>;

/// Run a role until SIGTERM or SIGINT has stopped it. Return the exit code.
int runEntry(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<EntryPorts(aio::Loop &)> &MakePorts);
int runAgent(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<AgentPorts(aio::Loop &)> &MakePorts);

} // namespace nutmegwell::sitehost
