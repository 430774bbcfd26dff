#pragma once

#include "invocation.h"

namespace nutmegwell::client {

/// One command of the program: its settings and what it does.
struct Command {
  /// One or two words.
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
