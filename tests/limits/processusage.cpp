#include "processusage.h"
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>

namespace limits {

Usage usageOf(pid_t Process) {
  const std::string Folder = "/proc/" + std::to_string(Process);
  Usage Result;
  std::ifstream Status(Folder + "/status");
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.rfind("State:", 0) == 0)
      Result.Alive_ = Line.find('Z') == std::string::npos;
    if (Line.rfind("VmHWM:", 0) == 0)
      Result.PeakBytes_ = 1024 * std::stoul(Line.substr(6));
  }
  std::error_code Failure;
  for (auto It = std::filesystem::directory_iterator(Folder + "/fd", Failure);
       !Failure && It != std::filesystem::directory_iterator(); ++It)
    ++Result.Descriptors_;
  return Result;
}

Usage settledUsage(pid_t Process) {
  constexpr int MaxReadings = 60;
  constexpr int EqualReadings = 5;
  constexpr std::chrono::milliseconds Interval(100);
  std::mutex Mutex;
  std::condition_variable Never;
  Usage Highest = usageOf(Process);
  for (int I = 0, Equal = 0; I < MaxReadings && Equal < EqualReadings; ++I) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Never.wait_for(Lock, Interval);
    const Usage Now = usageOf(Process);
    const bool Higher = Now.PeakBytes_ > Highest.PeakBytes_ ||
                        Now.Descriptors_ > Highest.Descriptors_;
    Equal = Higher ? 0 : Equal + 1;
    Highest.Alive_ = Now.Alive_;
    Highest.PeakBytes_ = std::max(Highest.PeakBytes_, Now.PeakBytes_);
    Highest.Descriptors_ = std::max(Highest.Descriptors_, Now.Descriptors_);
  }
  return Highest;
}

} // namespace limits
