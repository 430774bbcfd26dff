#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/net/frame.h"

namespace nutmegwell::daemon {

/// Returns bounds that let a whole control state pass.
net::FrameLimits stateFrameLimits();

/// Returns a handler that answers StateQueryFrame with the control state of
/// \p Control, which must outlive the server.
net::FrameHandler serveState(entry::ControlLoop &Control);

/// Loads the control state of the peer at \p Server. Fails with NotFound when
/// the peer has not applied the log up to \p AtLeast.
absl::StatusOr<model::ControlState> fetchState(const net::Address &Server,
                                               core::Offset AtLeast,
                                               core::Duration Timeout);

} // namespace nutmegwell::daemon
