#pragma once

#include "nutmegwell/net/http.h"
#include "nutmegwell/routing/request.h"

namespace nutmegwell::entry {

/// Returns the HTTP response of an ended request: the upstream's answer as it
/// is, or {"code","outcome","step","peer","message"}.
net::HttpResponse toResponse(const routing::AttemptResult &Result);

} // namespace nutmegwell::entry
