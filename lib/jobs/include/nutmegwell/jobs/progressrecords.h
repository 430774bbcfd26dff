#pragma once

#include "nutmegwell/jobs/records.h"

namespace nutmegwell::jobs {

/// Returns the progress of a job for one record.
RecordedProgress toRecord(const JobSpec &Spec, const JobProgress &Progress);

/// Returns the progress that one record holds.
JobProgress fromRecord(const RecordedProgress &Recorded);

} // namespace nutmegwell::jobs
