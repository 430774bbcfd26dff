#include "logstore.h"
#include <csignal>
#include <cstdlib>
#include <getopt.h>
#include <iostream>

using namespace nutmegwell;

/// Stand-in of the platform's log service. Prints "port=N" once it listens and
/// ends at SIGTERM or SIGINT.
int main(int Argc, char **Argv) {
  net::Address Listen{"127.0.0.1", 0};
  std::size_t Retention = 100000;
  const option Options[] = {{"port", required_argument, nullptr, 'p'},
                            {"retention", required_argument, nullptr, 'r'},
                            {nullptr, 0, nullptr, 0}};
  for (int Flag;
       (Flag = getopt_long(Argc, Argv, "", Options, nullptr)) != -1;) {
    if (Flag == 'p') {
      Listen.Port_ = static_cast<std::uint16_t>(std::atoi(optarg));
    } else if (Flag == 'r') {
      Retention = std::strtoull(optarg, nullptr, 10);
    } else {
      std::cerr << "usage: " << Argv[0]
                << " [--port N] [--retention ENTRIES]\n";
      return 2;
    }
  }
  if (Listen.Port_ == 0)
    Listen.Port_ = net::reserveTcpPort();
  // Blocked before the server starts its threads, so that they inherit it.
  sigset_t Ends;
  sigemptyset(&Ends);
  sigaddset(&Ends, SIGTERM);
  sigaddset(&Ends, SIGINT);
  sigprocmask(SIG_BLOCK, &Ends, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    standins::LogStore Store(Retention);
    Store.traceTo([](core::Offset At) {
      std::cout << "appended " << At << " at_us="
                << core::steadyClock().Now_().time_since_epoch().count()
                << std::endl;
    });
    net::HttpServer Server(Listen, standins::logServerLimits(),
                           [&Store](const net::HttpRequest &Request) {
                             return standins::handleLog(Store, Request);
                           });
    std::cout << "port=" << Listen.Port_ << std::endl;
    int Signal = 0;
    sigwait(&Ends, &Signal);
    Store.close();
    Server.stop();
  } catch (const std::exception &Error) {
    std::cerr << "cannot serve " << net::toString(Listen) << ": "
              << Error.what() << "\n";
    return 1;
  }
  return 0;
}
