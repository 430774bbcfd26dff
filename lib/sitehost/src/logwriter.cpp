#include "logwriter.h"
#include "nutmegwell/settings/logging.h"

namespace nutmegwell::sitehost {

LogWriter::LogWriter(std::size_t MaxQueued, metrics::Registry &Metrics)
    : Metrics_(Metrics),
      Dropped_(Metrics.counter("nutmegwell_log_lines_dropped_total",
                               "Log lines dropped by a full queue")),
      Queue_(MaxQueued), Thread_([this] { run(); }) {}

LogWriter::~LogWriter() {
  Queue_.close();
  Thread_.join();
}

void LogWriter::write(std::vector<core::LogEvent> Events) {
  if (Events.empty())
    return;
  for (const core::LogEvent &Event : Events)
    Metrics_
        .counter("nutmegwell_decisions_total", "Logged decisions by event",
                 {{"event", Event.Event_}})
        .add();
  const std::size_t Count = Events.size();
  if (!Queue_.push(std::move(Events))) {
    Dropped_.add(Count);
    UnreportedDrops_ += Count;
  }
}

void LogWriter::run() {
  while (auto Events = Queue_.popUntil(core::TimePoint::max())) {
    if (const std::uint64_t DroppedCount = UnreportedDrops_.exchange(0))
      settings::logStateChange("log_lines_dropped",
                               {{"count", std::to_string(DroppedCount)}},
                               settings::LogLevel::Warning);
    for (const core::LogEvent &Event : *Events)
      settings::logStateChange(Event.Event_, Event.Fields_);
  }
}

} // namespace nutmegwell::sitehost
