#pragma once

#include "nutmegwell/cell/load.h"
#include "nutmegwell/core/time.h"
#include <optional>

namespace nutmegwell::site {

/// Load of the cell as an entry host knows it.
struct KnownLoad {
  /// Newest valid report of the newest term, and when it arrived.
  std::optional<cell::LoadReport> Report_;
  core::TimePoint ReceivedAt_{};
  /// Term in which this host, as holder, has sent a report of an overload that
  /// none of the end of the overload has followed; 0 for none.
  core::Term OverloadSentIn_ = 0;
};

} // namespace nutmegwell::site
