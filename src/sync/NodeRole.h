#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>

namespace redwingseam::sync {

// The role of this node, which decides whether it queries the store itself. Normally only the leader does. The hubs
// query each other, including the leader, and the other nodes query their hub. Any node queries the store when its state
// becomes too old. Having two leaders for a while is harmless. Thread-safe.
class NodeRole {
public:
    void setHub(bool isHub) { m_isHub = isHub; }
    bool isHub() const { return m_isHub; }
    void setLeader(bool isLeader) { m_isLeader = isLeader; }
    bool isLeader() const { return m_isLeader; }

    // `age` is the age of the node's state, and `maxAge` the time within which the node must know a change.
    bool shouldQueryStore(base::Duration age, base::Duration maxAge) const
    {
        return m_isLeader || age > std::chrono::duration_cast<base::Duration>(maxAge * maxAgeFraction);
    }

private:
    // Leaves time for one call and one retry within `maxAge`.
    static constexpr double maxAgeFraction = 0.75;

    // A node that knows no other node is hub and leader.
    std::atomic<bool> m_isHub { true };
    std::atomic<bool> m_isLeader { true };
};

} // namespace redwingseam::sync
