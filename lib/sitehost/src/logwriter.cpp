#include "logwriter.h"
#include "nutmegwell/settings/logging.h"

namespace nutmegwell::sitehost {

LogWriter::LogWriter(std::size_t Bound, metrics::Registry &All)
    : All_(All), Dropped_(All.counter("nutmegwell_log_lines_dropped_total",
                                      "Log lines dropped by a full queue")),
      Queue_(Bound), Thread_([this] { run(); }) {}

LogWriter::~LogWriter() {
  Queue_.close();
  Thread_.join();
}

void LogWriter::write(std::vector<core::LogEvent> Lines) {
  if (Lines.empty())
    return;
  for (const core::LogEvent &Line : Lines)
    All_.counter("nutmegwell_decisions_total", "Logged decisions by event",
                 {{"event", Line.Event_}})
        .add();
  const std::size_t Count = Lines.size();
  if (!Queue_.push(std::move(Lines))) {
    Dropped_.add(Count);
    DroppedSince_ += Count;
  }
}

void LogWriter::run() {
  while (auto Lines = Queue_.popUntil(core::TimePoint::max())) {
    if (const std::uint64_t Lost = DroppedSince_.exchange(0))
      settings::logStateChange("log_lines_dropped",
                               {{"count", std::to_string(Lost)}},
                               settings::LogLevel::Warning);
    for (const core::LogEvent &Line : *Lines)
      settings::logStateChange(Line.Event_, Line.Fields_);
  }
}

} // namespace nutmegwell::sitehost
