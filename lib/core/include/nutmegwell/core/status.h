#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include <string>
#include <string_view>

namespace nutmegwell::core {

/// Returns an error that carries the step and the peer at which it occurred.
absl::Status makeError(absl::StatusCode Code, std::string_view Step,
                       std::string_view Peer, std::string_view Message);

/// Returns the step of \p Error, or an empty string when it has none.
std::string stepOf(const absl::Status &Error);

/// Returns the peer of \p Error, or an empty string when it has none.
std::string peerOf(const absl::Status &Error);

/// Returns "CODE: message (step S, peer P)" for logs and the command line.
std::string describe(const absl::Status &Error);

} // namespace nutmegwell::core
