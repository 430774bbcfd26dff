#include "nutmegwell/client/run.h"

#include "commands.h"
#include <ostream>

namespace nutmegwell::client {

namespace {

constexpr const char *ExitCodesHelp =
    "Exit codes: 0 success; 1 refused, not run; 2 invalid command line; 3 "
    "outcome unknown;\n4 (wait) the job failed, was cancelled or has not "
    "finished.\n";

std::vector<Command> commands() {
  return {requestCommand(),   submitCommand(),   statusCommand(),
          waitCommand(),      cancelCommand(),   explainCommand(),
          publishCommand(),   showCommand(),     checkCommand(),
          domainOutCommand(), domainInCommand(), burnCommand()};
}

std::string usageText() {
  std::string Text = "Usage: nutmegwell [--entry IP:PORT] COMMAND\n\n";
  for (const Command &Cmd : commands())
    Text += "  " + Cmd.Name_ + (Cmd.Spec_.ArgumentsHelp_.empty() ? "" : " ") +
            Cmd.Spec_.ArgumentsHelp_ + "\n      " +
            Cmd.Spec_.Purpose_.substr(0, Cmd.Spec_.Purpose_.find('.') + 1) +
            "\n";
  return Text +
         "\nRun 'nutmegwell COMMAND --help' to list the flags of a command. "
         "Without --entry, the\nentry hosts are read from the environment "
         "variable NUTMEGWELL_ENTRY.\n\n" +
         ExitCodesHelp;
}

/// Command line, split before the name of the command.
struct CommandLine {
  /// Flags before the command name. They are parsed together with the flags
  /// after it.
  std::vector<std::string> LeadingFlags_;
  std::vector<std::string> CommandAndArguments_;
};

CommandLine splitCommandLine(int Argc, const char *const *Argv) {
  CommandLine Result;
  int I = 1;
  for (; I < Argc && Argv[I][0] == '-'; ++I) {
    Result.LeadingFlags_.emplace_back(Argv[I]);
    // The value of these flags may be the next argument.
    const bool TakesNext = Result.LeadingFlags_.back() == "--entry" ||
                           Result.LeadingFlags_.back() == "--timeout";
    if (TakesNext && I + 1 < Argc)
      Result.LeadingFlags_.emplace_back(Argv[++I]);
  }
  Result.CommandAndArguments_.assign(Argv + I, Argv + Argc);
  return Result;
}

/// Returns the number of words at the start of \p Rest that name \p Cmd, or 0
/// if they name another command.
std::size_t countCommandWords(const Command &Cmd,
                              const std::vector<std::string> &Rest) {
  if (!Rest.empty() && Rest[0] == Cmd.Name_)
    return 1;
  return Rest.size() > 1 && Rest[0] + " " + Rest[1] == Cmd.Name_ ? 2 : 0;
}

int runCommand(const Command &Cmd, const CommandLine &Line,
               std::size_t NameWords, const Context &Context) {
  std::vector<const char *> Argv = {"nutmegwell"};
  for (const std::string &Flag : Line.LeadingFlags_)
    Argv.push_back(Flag.c_str());
  for (std::size_t I = NameWords; I < Line.CommandAndArguments_.size(); ++I)
    Argv.push_back(Line.CommandAndArguments_[I].c_str());
  auto Parsed = settings::parse(Cmd.Spec_, static_cast<int>(Argv.size()),
                                Argv.data(), Context.Environment_);
  if (auto Code =
          settings::exitCode(Cmd.Spec_, Parsed, Context.Out_, Context.Err_)) {
    if (Parsed.ok() && Parsed->helpRequested())
      Context.Out_ << '\n' << ExitCodesHelp;
    return *Code == 0 ? Success : UsageError;
  }
  return Cmd.Run_({*Parsed, Context});
}

} // namespace

int run(int Argc, const char *const *Argv, const Context &Context) {
  const CommandLine Line = splitCommandLine(Argc, Argv);
  for (const Command &Cmd : commands())
    if (const std::size_t NameWords =
            countCommandWords(Cmd, Line.CommandAndArguments_))
      return runCommand(Cmd, Line, NameWords, Context);
  const bool HelpRequested = Line.CommandAndArguments_.empty() &&
                             !Line.LeadingFlags_.empty() &&
                             Line.LeadingFlags_.front() == "--help";
  (HelpRequested ? Context.Out_ : Context.Err_) << usageText();
  return HelpRequested ? Success : UsageError;
}

} // namespace nutmegwell::client
