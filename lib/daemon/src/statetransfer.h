#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/net/frame.h"

namespace nutmegwell::daemon {

/// Returns frame limits that are large enough for an encoded control state.
net::FrameLimits stateFrameLimits();

/// Returns a handler that responds to a StateQueryFrame with the control state
/// of \p Control, which must outlive the server.
net::FrameHandler serveState(entry::ControlLoop &Control);

/// Fetches the control state of the peer at \p Server. Returns NotFound when
/// the peer has not applied the log up to offset \p MinOffset.
absl::StatusOr<model::ControlState> fetchState(const net::Address &Server,
                                               core::Offset MinOffset,
                                               core::Duration Timeout);

} // namespace nutmegwell::daemon
