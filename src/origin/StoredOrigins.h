#pragma once

#include "origin/NodeRecords.h"
#include "origin/VersionStatement.h"

#include <vector>

namespace redwingseam::origin {

// All that the store holds of where streams began. A plain value.
struct StoredOrigins {
    uint64_t era = 0;
    VersionStatement statement;
    std::vector<NodeRecords> nodes;
};

} // namespace redwingseam::origin
