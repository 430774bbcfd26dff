#include "nutmegwell/client/run.h"

#include "commands.h"
#include <ostream>

namespace nutmegwell::client {

namespace {

constexpr const char *ExitCodesHelp =
    "Exit codes: 0 done; 1 refused and not run; 2 wrong command line; 3 "
    "outcome "
    "unknown;\n4 (wait) the job failed, was cancelled or has not ended.\n";

std::vector<Command> commands() {
  return {requestCommand(),   submitCommand(),   statusCommand(),
          waitCommand(),      cancelCommand(),   explainCommand(),
          publishCommand(),   showCommand(),     checkCommand(),
          domainOutCommand(), domainInCommand(), burnCommand()};
}

std::string overview() {
  std::string Text = "Usage: nutmegwell [--entry IP:PORT] COMMAND\n\n";
  for (const Command &Entry : commands())
    Text += "  " + Entry.Name_ +
            (Entry.Spec_.ArgumentsHelp_.empty() ? "" : " ") +
            Entry.Spec_.ArgumentsHelp_ + "\n      " +
            Entry.Spec_.Purpose_.substr(0, Entry.Spec_.Purpose_.find('.') + 1) +
            "\n";
  return Text +
         "\nnutmegwell COMMAND --help lists the flags. NUTMEGWELL_ENTRY names "
         "the entry hosts\nwhen --entry does not.\n\n" +
         ExitCodesHelp;
}

/// A command line divided at the command's words.
struct Division {
  /// Flags before the command, which are read with those after it.
  std::vector<std::string> Leading_;
  std::vector<std::string> Rest_;
};

Division divide(int Argc, const char *const *Argv) {
  Division Result;
  int I = 1;
  for (; I < Argc && Argv[I][0] == '-'; ++I) {
    Result.Leading_.emplace_back(Argv[I]);
    // These two take a value, which may be the next argument.
    const bool TakesNext = Result.Leading_.back() == "--entry" ||
                           Result.Leading_.back() == "--timeout";
    if (TakesNext && I + 1 < Argc)
      Result.Leading_.emplace_back(Argv[++I]);
  }
  Result.Rest_.assign(Argv + I, Argv + Argc);
  return Result;
}

/// Returns how many words of \p Rest name \p Entry, 0 for another command.
std::size_t wordsOf(const Command &Entry,
                    const std::vector<std::string> &Rest) {
  if (!Rest.empty() && Rest[0] == Entry.Name_)
    return 1;
  return Rest.size() > 1 && Rest[0] + " " + Rest[1] == Entry.Name_ ? 2 : 0;
}

int runCommand(const Command &Entry, const Division &Line, std::size_t Words,
               const Context &Context) {
  std::vector<const char *> Argv = {"nutmegwell"};
  for (const std::string &Flag : Line.Leading_)
    Argv.push_back(Flag.c_str());
  for (std::size_t I = Words; I < Line.Rest_.size(); ++I)
    Argv.push_back(Line.Rest_[I].c_str());
  auto Parsed = settings::parse(Entry.Spec_, static_cast<int>(Argv.size()),
                                Argv.data(), Context.Variables_);
  if (auto Code =
          settings::exitCode(Entry.Spec_, Parsed, Context.Out_, Context.Err_)) {
    if (Parsed.ok() && Parsed->helpAsked())
      Context.Out_ << '\n' << ExitCodesHelp;
    return *Code == 0 ? Done : Usage;
  }
  return Entry.Run_({*Parsed, Context});
}

} // namespace

int run(int Argc, const char *const *Argv, const Context &Context) {
  const Division Line = divide(Argc, Argv);
  for (const Command &Entry : commands())
    if (const std::size_t Words = wordsOf(Entry, Line.Rest_))
      return runCommand(Entry, Line, Words, Context);
  const bool HelpAsked = Line.Rest_.empty() && !Line.Leading_.empty() &&
                         Line.Leading_.front() == "--help";
  (HelpAsked ? Context.Out_ : Context.Err_) << overview();
  return HelpAsked ? Done : Usage;
}

} // namespace nutmegwell::client
