#pragma once

#include "fleet/Fleet.h"

#include <atomic>

namespace redwingseam::origin {

// Whether this node's list of upstreams shows all versions at which a stream that a client takes up may have begun: the list
// must have been confirmed after the take-up arrived, by a read of the store or by a check with other nodes that began later.
// Thread-safe.
class ListCurrency {
public:
    explicit ListCurrency(const fleet::Fleet& fleet)
        : m_fleet(fleet)
    {
    }

    bool covers(base::Instant arrivedAt) const;
    // Asks for a check with other nodes. To be called again while it is needed.
    void requestCheck(base::Instant arrivedAt, base::Instant now);
    // Returns whether a take-up waits for a check.
    bool isCheckNeeded(base::Instant now) const;
    // Records that no node asked in a check that began at `beganAt` had a newer list than this node has.
    void recordCheck(base::Instant beganAt);

private:
    // Take-ups that wait repeat their request each few tens of milliseconds.
    static constexpr base::Duration requestLifetime = std::chrono::milliseconds(500);

    const fleet::Fleet& m_fleet;
    std::atomic<base::Instant> m_checkedAt { base::Instant {} };
    // The arrival of the latest take-up that waits for a check, and the time of the last request for one.
    std::atomic<base::Instant> m_latestArrival { base::Instant {} };
    std::atomic<base::Instant> m_requestedAt { base::Instant {} };
};

} // namespace redwingseam::origin
