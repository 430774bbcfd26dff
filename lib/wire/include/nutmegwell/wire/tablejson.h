#pragma once

#include "nutmegwell/model/tables.h"
#include <string>
#include <vector>

namespace nutmegwell::wire {

/// Reads a table from JSON of the form {"routes": [{...}, ...]} or
/// {"pools": [{...}, ...]}. Returns one error for each malformed or unknown
/// field; \p Table is complete only without errors.
std::vector<model::ValidationError> parseRoutes(const std::string &Text,
                                                model::RoutesTable &Table);
std::vector<model::ValidationError> parsePools(const std::string &Text,
                                               model::PoolsTable &Table);

/// Returns a table in the form that the parsers read.
std::string formatRoutes(const model::RoutesTable &Table);
std::string formatPools(const model::PoolsTable &Table);

} // namespace nutmegwell::wire
