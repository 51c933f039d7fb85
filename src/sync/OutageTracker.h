#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::sync {

// Tracks whether the store is reachable, and how long entries that are missing after an outage are still treated as
// present. Not thread-safe.
class OutageTracker {
public:
    // Records the result of a call. Returns whether it changed the state between reachable and unreachable.
    bool recordResult(bool succeeded, base::Instant now);
    // Records that the store served another node at `servedAt`.
    void recordServedElsewhere(base::Instant servedAt);
    // Records that the store was restored at `restoredAt`, so that entries may be missing however short the outage was.
    void recordRestore(base::Instant restoredAt);
    bool isUnreachable() const { return m_isUnreachable; }
    // Returns how much longer a missing entry is kept.
    base::Duration missingEntryGrace(base::Instant now) const;

private:
    bool mayEntriesHaveExpired(base::Instant now) const;

    // Live upstreams register again within this time after the store recovers.
    static constexpr base::Duration recoveryGrace = std::chrono::milliseconds(2400);
    // No entry expires during a shorter outage.
    static constexpr base::Duration minOutageForExpiry = std::chrono::milliseconds(1500);
    // The same while other nodes reach the store. They report that some time later.
    static constexpr base::Duration minOutageIfServedElsewhere = std::chrono::milliseconds(2400);

    bool m_isUnreachable = false;
    base::Instant m_lastSuccess {};
    base::Instant m_servedElsewhereAt {};
    base::Instant m_recoveredAt {};
};

} // namespace redwingseam::sync
