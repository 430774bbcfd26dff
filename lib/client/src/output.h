#pragma once

#include "nutmegwell/model/job.h"
#include "nutmegwell/model/tables.h"
#include <string>
#include <vector>

namespace nutmegwell::client {

using TextRow = std::vector<std::string>;

/// Returns the rows in columns of equal width; the first row is the heading.
std::string formatColumns(const std::vector<TextRow> &Rows);

/// Returns "TABLE row N field F: message" and a line break.
std::string formatValidationError(const model::ValidationError &Error);

/// Returns a job in several lines.
std::string formatJobText(const model::Job &Job);

} // namespace nutmegwell::client
