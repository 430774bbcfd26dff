#include "nutmegwell/client/run.h"
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace nutmegwell;

namespace {

/// Reads the file \p Name, or standard input if \p Name is "-".
absl::StatusOr<std::string> readFile(const std::string &Name) {
  std::ostringstream Text;
  if (Name == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream In(Name, std::ios::binary);
  if (In)
    Text << In.rdbuf();
  if (!In || In.bad())
    return core::makeError(absl::StatusCode::kNotFound, "read file", "",
                           "cannot read file '" + Name + "'");
  return Text.str();
}

} // namespace

int main(int Argc, char **Argv) {
  // A write to a closed connection must fail with an error instead of ending
  // the process by SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  return client::run(Argc, Argv,
                     {client::httpTransport(), core::steadyClock(),
                      settings::processEnvironment(), readFile, std::cout,
                      std::cerr});
}
