#include "sync/OutageTracker.h"

namespace redwingseam::sync {

bool OutageTracker::recordResult(bool succeeded, base::Instant now)
{
    bool wasOut = m_isOut;
    m_isOut = !succeeded;
    if (!succeeded)
        return !wasOut;
    bool mayHaveExpired = wasOut && m_lastSuccess != base::Instant {} && now - m_lastSuccess > minOutageForExpiry;
    if (mayHaveExpired)
        m_recoveredAt = now;
    m_lastSuccess = now;
    return wasOut;
}

base::Duration OutageTracker::missingEntryGrace(base::Instant now) const
{
    if (m_recoveredAt == base::Instant {} || now - m_recoveredAt >= recoveryGrace)
        return {};
    return recoveryGrace - (now - m_recoveredAt);
}

} // namespace redwingseam::sync
