#include "sync/OutageTracker.h"

#include <algorithm>

namespace redwingseam::sync {

bool OutageTracker::recordResult(bool succeeded, base::Instant now)
{
    bool wasUnreachable = m_isUnreachable;
    m_isUnreachable = !succeeded;
    if (!succeeded)
        return !wasUnreachable;
    if (wasUnreachable && m_lastSuccess != base::Instant {} && mayEntriesHaveExpired(now))
        m_recoveredAt = now;
    m_lastSuccess = now;
    return wasUnreachable;
}

// A node that alone has lost its connection must not take this for an outage: what is missing afterwards has left.
bool OutageTracker::mayEntriesHaveExpired(base::Instant now) const
{
    if (m_servedElsewhereAt > m_lastSuccess)
        return now - m_servedElsewhereAt > minOutageIfServedElsewhere;
    return now - m_lastSuccess > minOutageForExpiry;
}

void OutageTracker::recordServedElsewhere(base::Instant servedAt)
{
    m_servedElsewhereAt = std::max(m_servedElsewhereAt, servedAt);
}

void OutageTracker::recordRestore(base::Instant restoredAt)
{
    m_recoveredAt = std::max(m_recoveredAt, restoredAt);
}

base::Duration OutageTracker::missingEntryGrace(base::Instant now) const
{
    if (m_recoveredAt == base::Instant {} || now - m_recoveredAt >= recoveryGrace)
        return {};
    return recoveryGrace - (now - m_recoveredAt);
}

} // namespace redwingseam::sync
