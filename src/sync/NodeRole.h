#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>

namespace redwingseam::sync {

// Whether this node asks the store by itself. One node does, the leader; hubs ask it, their neighbours ask
// the hubs, and each asks the store when what it knows has grown too old. Two leaders for a while do no
// harm. Thread-safe.
class NodeRole {
public:
    void setHub(bool isHub) { m_isHub = isHub; }
    bool isHub() const { return m_isHub; }
    void setLeader(bool isLeader) { m_isLeader = isLeader; }
    bool isLeader() const { return m_isLeader; }

    // `age`: of what the node knows; `maxAge`: by when a change must be known.
    bool shouldQueryStore(base::Duration age, base::Duration maxAge) const
    {
        return m_isLeader || age > std::chrono::duration_cast<base::Duration>(maxAge * maxAgeFraction);
    }

private:
    // Leaves time for a call and its repetition within the bound.
    static constexpr double maxAgeFraction = 0.75;

    // A node that knows no other is its own hub, and the leader.
    std::atomic<bool> m_isHub { true };
    std::atomic<bool> m_isLeader { true };
};

} // namespace redwingseam::sync
