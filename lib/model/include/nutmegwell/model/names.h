#pragma once

#include <string>

namespace nutmegwell::model {

/// Name of the host of a process. The platform assigns it, unique in a region.
using NodeName = std::string;
using DomainName = std::string;
using RackName = std::string;
using AccountName = std::string;
using ServiceName = std::string;

} // namespace nutmegwell::model
