#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::fakes {

// Keeps the last list that it was given.
struct NodesTaker {
    std::vector<sync::NodeRecord> nodes;

    void setNodes(const std::vector<sync::NodeRecord>& given) { nodes = given; }
};

} // namespace redwingseam::fakes
