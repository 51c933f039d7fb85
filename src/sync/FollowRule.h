#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>

namespace redwingseam::sync {

// Whether this node asks the store by itself. One node of a data centre does, its hub; the others ask the
// hub, and the store only when what they know has grown too old. Thread-safe.
class FollowRule {
public:
    void setHub(bool isHub) { m_isHub = isHub; }
    bool isHub() const { return m_isHub; }

    // `age`: of what the node knows; `bound`: by when a change must be known.
    bool asksStore(base::Duration age, base::Duration bound) const
    {
        return m_isHub || age > std::chrono::duration_cast<base::Duration>(bound * oldestShare);
    }

private:
    // Leaves time for a call and its repetition within the bound.
    static constexpr double oldestShare = 0.6;

    // A node that knows no other is its own hub.
    std::atomic<bool> m_isHub { true };
};

} // namespace redwingseam::sync
