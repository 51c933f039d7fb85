#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::fakes {

// Records the node list that it received last.
struct RecordingNodeListener {
    std::vector<sync::NodeRecord> nodes;

    void setNodes(const std::vector<sync::NodeRecord>& newNodes) { nodes = newNodes; }
};

} // namespace redwingseam::fakes
