#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/model/job.h"
#include <cxxtools/serializationinfo.h>

namespace nutmegwell::wire {

/// Adds \p Job to \p Out with the members that formatJob writes.
void addJob(cxxtools::SerializationInfo &Out, const model::Job &Job);

/// Reads a job that addJob wrote. Returns InvalidArgument for any other object.
absl::StatusOr<model::Job> readJob(const cxxtools::SerializationInfo &Object);

} // namespace nutmegwell::wire
