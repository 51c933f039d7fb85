#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>

namespace redwingseam::sync {

// The role of this node, which decides whether it queries the store itself. Normally only the leader does. The hubs
// query each other, including the leader, and the other nodes query their hub. If state becomes old, or the leader has
// lost the store, the hub and the deputies of each data centre query the store. The other nodes do so only when their
// state is too old to use, since hundreds of nodes that query a store in trouble slow its recovery, and each call is
// billed. Having two leaders for a while is harmless. Thread-safe.
class NodeRole {
public:
    void setHub(bool isHub) { m_isHub = isHub; }
    bool isHub() const { return m_isHub; }
    void setDeputy(bool isDeputy) { m_isDeputy = isDeputy; }
    bool isDeputy() const { return m_isDeputy; }
    // Returns whether the other nodes of the data centre rely on this node's queries.
    bool isResponsible() const { return m_isHub || m_isDeputy; }
    void setLeader(bool isLeader) { m_isLeader = isLeader; }
    bool isLeader() const { return m_isLeader; }

    // Whether this node's last call to the store failed.
    void setStoreLost(bool hasLostStore) { m_hasLostStore = hasLostStore; }
    bool hasLostStore() const { return m_hasLostStore; }
    // Whether the node on which this one relies has lost the store. Its loss alone doesn't tell that the store is away.
    void setReaderCutOff(bool isReaderCutOff) { m_isReaderCutOff = isReaderCutOff; }

    // `age` is the age of the node's state, and `maxAge` the time within which the node must know a change.
    bool shouldQueryStore(base::Duration age, base::Duration maxAge) const
    {
        if (m_isLeader || (m_isReaderCutOff && isResponsible()))
            return true;
        return age > (isResponsible() ? std::chrono::duration_cast<base::Duration>(maxAge * maxAgeFraction) : maxAge);
    }

private:
    // Leaves time for one call and one retry within `maxAge`.
    static constexpr double maxAgeFraction = 0.75;

    // A node that knows no other node is hub and leader.
    std::atomic<bool> m_isHub { true };
    std::atomic<bool> m_isDeputy { false };
    std::atomic<bool> m_isLeader { true };
    std::atomic<bool> m_hasLostStore { false };
    std::atomic<bool> m_isReaderCutOff { false };
};

} // namespace redwingseam::sync
