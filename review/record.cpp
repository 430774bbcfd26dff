#include "record.h"
#include <iomanip>
#include <iostream>

namespace review {

Record::Record(const std::string &Folder) : File_(Folder + "/record.txt") {}

void Record::add(const std::string &Who, const std::string &What) {
  const double Seconds = std::chrono::duration<double>(elapsed()).count();
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (std::ostream *Out : {static_cast<std::ostream *>(&File_), &std::cout})
    *Out << std::fixed << std::setprecision(3) << std::setw(8) << Seconds
         << "  " << Who << ": " << What << std::endl;
}

milliseconds Record::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Begin_);
}

} // namespace review
