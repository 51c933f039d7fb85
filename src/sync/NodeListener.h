#pragma once

#include "sync/NodeRecord.h"

#include <concepts>
#include <vector>

namespace redwingseam::sync {

// Receives the list of nodes, and knows which of them are gone.
template<typename T>
concept NodeListener = requires(T& listener, const std::vector<NodeRecord>& nodes, const NodeRecord& node)
{
    listener.setNodes(nodes);
    // Returns the nodes whose entries this node is to delete.
    {
        listener.goneNodes()
        } -> std::same_as<std::vector<NodeRecord>>;
    listener.recordRemoval(node);
};

} // namespace redwingseam::sync
