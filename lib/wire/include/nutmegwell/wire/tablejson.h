#pragma once

#include "nutmegwell/model/tables.h"
#include <string>
#include <vector>

namespace nutmegwell::wire {

/// Reads a table from JSON of the form {"routes": [{...}, ...]} or
/// {"pools": [{...}, ...]}. Returns one error for each malformed, missing or
/// unknown field. \p Table is valid only when there are no errors.
std::vector<model::ValidationError> parseRoutes(const std::string &Text,
                                                model::RoutesTable &Table);
std::vector<model::ValidationError> parsePools(const std::string &Text,
                                               model::PoolsTable &Table);

/// Return \p Table in the format that the parse functions read.
std::string formatRoutes(const model::RoutesTable &Table);
std::string formatPools(const model::PoolsTable &Table);

} // namespace nutmegwell::wire
