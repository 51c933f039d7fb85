#include "sync/OutageTracker.h"

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

base::Duration OutageTracker::missingEntryGrace(base::Instant now) const
{
    if (m_recoveredAt == base::Instant {} || now - m_recoveredAt >= recoveryGrace)
        return {};
    return recoveryGrace - (now - m_recoveredAt);
}

} // namespace redwingseam::sync
