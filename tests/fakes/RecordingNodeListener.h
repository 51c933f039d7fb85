#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::fakes {

// Keeps the last list that it was given.
struct RecordingNodeListener {
    std::vector<sync::NodeRecord> nodes;

    void setNodes(const std::vector<sync::NodeRecord>& newNodes) { nodes = newNodes; }
};

} // namespace redwingseam::fakes
