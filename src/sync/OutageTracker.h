#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::sync {

// Follows whether the store answers, and for how long entries that are missing after an outage are still
// taken to be there. Not synchronised.
class OutageTracker {
public:
    // Returns whether this answer or failure changed the state.
    bool recordResult(bool succeeded, base::Instant now);
    bool isOut() const { return m_isOut; }
    // How much longer a missing entry is kept.
    base::Duration missingGrace(base::Instant now) const;

private:
    // Live upstreams enter themselves again within this time after the store is back.
    static constexpr base::Duration recoveryGrace = std::chrono::milliseconds(2400);
    // A shorter disturbance lets no entry lapse.
    static constexpr base::Duration minOutageForExpiry = std::chrono::milliseconds(1500);

    bool m_isOut = false;
    base::Instant m_lastSuccess {};
    base::Instant m_recoveredAt {};
};

} // namespace redwingseam::sync
