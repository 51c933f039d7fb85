#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>
#include <cstdint>

namespace redwingseam::forward {

// Decides which nodes may start something that one node shall do, without coordination: one after the other gets its
// turn, because the first may have nothing to start. Thread-safe.
class TurnOrder {
public:
    // Sets the position of this node among all nodes that take turns.
    void setPosition(uint32_t position, uint32_t nodeCount);
    // Returns whether this node may start what is due since `dueAt`. Each key begins with another node.
    bool isTurn(uint64_t key, base::Instant dueAt, base::Instant now) const;

private:
    // The number of nodes whose turn it is doubles this often, beginning with one. Longer than a report takes to reach
    // all nodes.
    static constexpr base::Duration turnDuration = std::chrono::milliseconds(1000);

    std::atomic<uint32_t> m_position { 0 };
    std::atomic<uint32_t> m_nodeCount { 1 };
};

} // namespace redwingseam::forward
