#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::fakes {

// Records the node list that it received last, and the removals.
struct RecordingNodeListener {
    std::vector<sync::NodeRecord> nodes;
    // What the task is told.
    std::vector<sync::NodeRecord> gone;
    std::vector<sync::NodeRecord> removed;

    void setNodes(const std::vector<sync::NodeRecord>& newNodes) { nodes = newNodes; }
    std::vector<sync::NodeRecord> goneNodes() const { return gone; }
    void recordRemoval(const sync::NodeRecord& node)
    {
        std::erase(gone, node);
        removed.push_back(node);
    }
};

} // namespace redwingseam::fakes
