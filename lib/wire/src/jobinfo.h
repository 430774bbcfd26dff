#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/model/job.h"
#include <cxxtools/serializationinfo.h>

namespace nutmegwell::wire {

/// Adds the members of formatJob to \p Out.
void addJob(cxxtools::SerializationInfo &Out, const model::Job &Job);

/// Reads what addJob writes. Returns InvalidArgument for anything else.
absl::StatusOr<model::Job> readJob(const cxxtools::SerializationInfo &Object);

} // namespace nutmegwell::wire
