#pragma once

#include "invocation.h"
#include "output.h"
#include <string>

namespace nutmegwell::client {

/// Returns the API path of the job whose id is the first argument, or an empty
/// string if the argument is not a job id.
std::string jobPath(const Invocation &Call);

/// Prints that the first argument is not a job id and returns the exit code.
int printInvalidJobId(const Invocation &Call);

/// Prints the job in the response, formatted by \p Format, and returns \p Code.
/// Prints the error and returns its exit code if \p Result has no job.
int printJob(const Invocation &Call, const ExchangeResult &Result, int Code,
             std::string (*Format)(const model::Job &) = formatJobText);

} // namespace nutmegwell::client
