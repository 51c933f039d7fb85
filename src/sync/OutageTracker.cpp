#include "sync/OutageTracker.h"

#include <algorithm>

namespace redwingseam::sync {

bool OutageTracker::recordResult(bool succeeded, base::Instant now)
{
    bool wasUnreachable = m_isUnreachable;
    m_isUnreachable = !succeeded;
    if (!succeeded)
        return !wasUnreachable;
    bool mayEntriesHaveExpired = wasUnreachable && m_lastSuccess != base::Instant {} && now - m_lastSuccess > minOutageForExpiry;
    if (mayEntriesHaveExpired)
        m_recoveredAt = now;
    m_lastSuccess = now;
    return wasUnreachable;
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
