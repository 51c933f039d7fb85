#pragma once

#include "origin/RecordCoverage.h"
#include "origin/StreamRecord.h"

#include <cstdint>
#include <vector>

namespace redwingseam::origin {

// What a node has recorded in the store of the streams that it sent. A plain value.
struct NodeRecords {
    base::VmName node;
    // Revision of the stored object; 0 if there is none.
    uint64_t revision = 0;
    std::vector<StreamRecord> streams;
    RecordCoverage coverage;
};

} // namespace redwingseam::origin
