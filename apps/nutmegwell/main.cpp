#include "nutmegwell/client/run.h"
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace nutmegwell;

namespace {

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
                           "cannot read '" + Name + "'");
  return Text.str();
}

} // namespace

int main(int Argc, char **Argv) {
  // A closed connection is an error of that exchange, not the program's end.
  std::signal(SIGPIPE, SIG_IGN);
  return client::run(Argc, Argv,
                     {client::httpTransport(), core::steadyClock(),
                      settings::processEnvironment(), readFile, std::cout,
                      std::cerr});
}
