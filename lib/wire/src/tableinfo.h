#pragma once

#include "nutmegwell/model/tables.h"
#include <cxxtools/serializationinfo.h>

namespace nutmegwell::wire {

/// Add the rows of a table to \p Root as the member "routes" or "pools".
void addRoutes(cxxtools::SerializationInfo &Root,
               const model::RoutesTable &Table);
void addPools(cxxtools::SerializationInfo &Root,
              const model::PoolsTable &Table);

} // namespace nutmegwell::wire
