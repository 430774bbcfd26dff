#include "record.h"
#include <iomanip>

namespace loopback {

Record::Record(const std::string &Path)
    : Out_(Path), Began_(std::chrono::steady_clock::now()) {}

void Record::write(const std::string &Who, const std::string &What) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  const std::chrono::duration<double> Age =
      std::chrono::steady_clock::now() - Began_;
  Out_ << std::fixed << std::setprecision(3) << std::setw(8) << Age.count()
       << "  " << Who << ": " << What << std::endl;
}

} // namespace loopback
