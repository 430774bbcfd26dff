#pragma once

#include "nutmegwell/model/job.h"
#include "nutmegwell/model/tables.h"
#include <string>
#include <vector>

namespace nutmegwell::client {

/// Cells of one line of a text table.
using TextRow = std::vector<std::string>;

/// Formats \p Rows as a table whose columns are padded to their widest cell;
/// the first row is the heading. An empty cell is shown as "-".
std::string formatColumns(const std::vector<TextRow> &Rows);

/// Returns "TABLE row N field F: message" and a newline.
std::string formatValidationError(const model::ValidationError &Error);

/// Formats a job as several lines, one attribute each.
std::string formatJobText(const model::Job &Job);

} // namespace nutmegwell::client
