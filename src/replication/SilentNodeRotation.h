#pragma once

#include "replication/SilentNode.h"

#include <vector>

namespace redwingseam::replication {

// Chooses which silent nodes are queried in a round: all while they are few. Of many, half of the round is for those that were
// heard last, since they are the likeliest to return, and the rest for the others in turn. Not thread-safe.
class SilentNodeRotation {
public:
    // Each query of a node whose machine is gone keeps a connection open until it times out.
    static constexpr size_t maxQueriesPerRound = 64;

    std::vector<sync::NodeRecord> next(std::vector<SilentNode> silent);

private:
    // The last node that was chosen in turn.
    base::VmName m_last;
};

} // namespace redwingseam::replication
