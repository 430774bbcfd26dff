#include "nutmegwell/net/http.h"
#include "nutmegwell/wire/json.h"
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <mutex>

using namespace nutmegwell;

/// Stand-in of an upstream: an HTTP service that announces itself to the agent
/// on its host and writes a JSON line for each request that it ran.

namespace {

constexpr core::Duration AnnounceTimeout = std::chrono::seconds(1);

struct Options {
  std::uint16_t Port_ = 0;
  net::Address Agent_;
  std::string Service_ = "service";
  unsigned Slots_ = 8;
  std::chrono::milliseconds Delay_{0};
  /// Time after DELETE /announce during which requests are still served.
  std::chrono::milliseconds Drain_{3000};
  std::string Log_;
};

[[noreturn]] void usage(int Status) {
  (Status == 0 ? std::cout : std::cerr)
      << "usage: nutmegwell-standin-upstream --agent IP:PORT [--port N]\n"
         "  [--service NAME] [--slots N] [--delay-ms N] [--drain-ms N]\n"
         "  [--log FILE]\n"
         "Port 0 lets the kernel choose. Without --log the lines go to\n"
         "standard output. A request's parameter delay_ms overrides the\n"
         "delay.\n";
  std::exit(Status);
}

Options parse(int Argc, char **Argv) {
  static const option Long[] = {{"agent", required_argument, nullptr, 'a'},
                                {"port", required_argument, nullptr, 'p'},
                                {"service", required_argument, nullptr, 's'},
                                {"slots", required_argument, nullptr, 'n'},
                                {"delay-ms", required_argument, nullptr, 'd'},
                                {"drain-ms", required_argument, nullptr, 'w'},
                                {"log", required_argument, nullptr, 'l'},
                                {"help", no_argument, nullptr, 'h'},
                                {nullptr, 0, nullptr, 0}};
  Options Result;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", Long, nullptr)) != -1) {
    switch (Option) {
    case 'a':
      if (!net::parseAddress(optarg, Result.Agent_))
        usage(2);
      break;
    case 'p':
      Result.Port_ = static_cast<std::uint16_t>(std::atoi(optarg));
      break;
    case 's':
      Result.Service_ = optarg;
      break;
    case 'n':
      Result.Slots_ = static_cast<unsigned>(std::atoi(optarg));
      break;
    case 'd':
      Result.Delay_ = std::chrono::milliseconds(std::atoi(optarg));
      break;
    case 'w':
      Result.Drain_ = std::chrono::milliseconds(std::atoi(optarg));
      break;
    case 'l':
      Result.Log_ = optarg;
      break;
    default:
      usage(Option == 'h' ? 0 : 2);
    }
  }
  if (Result.Agent_.Port_ == 0)
    usage(2);
  if (Result.Port_ == 0)
    Result.Port_ = net::reserveTcpPort();
  return Result;
}

/// Writes one line for each request that ran.
class RunLog {
public:
  explicit RunLog(const std::string &Path) {
    if (!Path.empty())
      File_.open(Path, std::ios::app);
  }

  void write(const std::string &Line) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    (File_.is_open() ? File_ : std::cout) << Line << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
};

/// Simulates the time that requests take.
class Work {
public:
  /// Takes \p Time, or less when the process stops.
  void run(std::chrono::milliseconds Time) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Stopped_.wait_for(Lock, Time, [this] { return Stopping_; });
  }

  /// Ends what runs and what comes later at once.
  void stop() {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Stopping_ = true;
    }
    Stopped_.notify_all();
  }

private:
  std::mutex Mutex_;
  std::condition_variable Stopped_;
  bool Stopping_ = false;
};

std::string describe(const Options &Settings, const net::HttpRequest &Request) {
  cxxtools::SerializationInfo Line;
  Line.addMember("service") <<= Settings.Service_;
  Line.addMember("port") <<= Settings.Port_;
  Line.addMember("account") <<= Request.header("X-Client-Account");
  Line.addMember("key") <<= Request.header("Idempotency-Key");
  Line.addMember("method") <<= Request.Method_;
  Line.addMember("path") <<= Request.Path_;
  Line.addMember("body") <<= Request.Body_;
  Line.addMember("at_us") <<=
      core::steadyClock().Now_().time_since_epoch().count();
  return wire::formatJson(Line);
}

net::HttpRequest announcement(const Options &Settings, const char *Method) {
  cxxtools::SerializationInfo Body;
  Body.addMember("service") <<= Settings.Service_;
  Body.addMember("port") <<= Settings.Port_;
  Body.addMember("slots") <<= Settings.Slots_;
  net::HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = "/announce";
  Request.Body_ = wire::formatJson(Body);
  return Request;
}

} // namespace

int main(int Argc, char **Argv) {
  const Options Settings = parse(Argc, Argv);
  sigset_t Stops;
  sigemptyset(&Stops);
  sigaddset(&Stops, SIGTERM);
  sigaddset(&Stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stops, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  RunLog Log(Settings.Log_);
  Work Simulated;
  try {
    net::HttpServer Server(
        {"127.0.0.1", Settings.Port_}, net::HttpLimits(),
        [&](const net::HttpRequest &Request) {
          const std::string Line = describe(Settings, Request);
          Log.write(Line);
          const std::string Delay = Request.parameter("delay_ms");
          Simulated.run(Delay.empty() ? Settings.Delay_
                                      : std::chrono::milliseconds(
                                            std::atoi(Delay.c_str())));
          return net::HttpResponse{200, "application/json", Line};
        });
    net::HttpClient Agent(Settings.Agent_);
    const timespec Interval{1, 0};
    do {
      // An agent that is not up yet gets the next announcement.
      (void)Agent.call(announcement(Settings, "POST"), AnnounceTimeout);
    } while (sigtimedwait(&Stops, nullptr, &Interval) < 0);
    (void)Agent.call(announcement(Settings, "DELETE"), AnnounceTimeout);
    const timespec Drain{Settings.Drain_.count() / 1000,
                         Settings.Drain_.count() % 1000 * 1000000};
    sigtimedwait(&Stops, nullptr, &Drain);
    // What still runs after the drain is answered at once.
    Simulated.stop();
    Server.stop();
  } catch (const std::exception &Error) {
    std::cerr << "code=start_failed message=\"" << Error.what() << "\"\n";
    return 1;
  }
  return 0;
}
