#pragma once

#include "invocation.h"

namespace nutmegwell::client {

/// A command of the command-line client: its name, settings and
/// implementation.
struct Command {
  /// Command words separated by one space, such as "status" or "domain out".
  std::string Name_;
  settings::SettingsSpec Spec_;
  int (*Run_)(const Invocation &);
};

Command requestCommand();
Command submitCommand();
Command statusCommand();
Command waitCommand();
Command cancelCommand();
Command explainCommand();
Command publishCommand();
Command showCommand();
Command checkCommand();
Command domainOutCommand();
Command domainInCommand();
Command burnCommand();

} // namespace nutmegwell::client
