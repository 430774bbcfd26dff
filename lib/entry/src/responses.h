#pragma once

#include "nutmegwell/net/http.h"
#include "nutmegwell/routing/request.h"

namespace nutmegwell::entry {

/// Returns the HTTP response to a completed request: the upstream's answer
/// unchanged, or an error {"code","outcome","step","peer","message"}.
net::HttpResponse toResponse(const routing::AttemptResult &Result);

} // namespace nutmegwell::entry
