#pragma once

#include "invocation.h"
#include "output.h"
#include <string>

namespace nutmegwell::client {

/// Returns the path of the job that the first argument names, or an empty text.
std::string jobPath(const Invocation &Call);

/// Prints that the first argument is not the id of a job.
int printBadId(const Invocation &Call);

/// Prints the job of an answer as \p Format writes it and returns \p Code.
int printJob(const Invocation &Call, const Reply &Reply, int Code,
             std::string (*Format)(const model::Job &) = formatJobText);

} // namespace nutmegwell::client
