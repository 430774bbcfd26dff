#pragma once

#include "nutmegwell/history/event.h"

namespace nutmegwell::history {

/// Calls \p Handle with the index and the body of each event of type \p Kind.
template <typename Kind, typename Function>
void forEachEvent(const History &Run, Function Handle) {
  for (std::size_t I = 0; I < Run.Events_.size(); ++I)
    if (const auto *Body = std::get_if<Kind>(&Run.Events_[I].Body_))
      Handle(I, *Body);
}

/// Returns the body of the event at \p Index, which must be of type \p Kind.
template <typename Kind>
const Kind &bodyAt(const History &Run, std::size_t Index) {
  return std::get<Kind>(Run.Events_[Index].Body_);
}

/// Returns the time from the event \p From to the event \p To.
inline core::Duration timeBetween(const History &Run, std::size_t From,
                                  std::size_t To) {
  return Run.Events_[To].At_ - Run.Events_[From].At_;
}

} // namespace nutmegwell::history
