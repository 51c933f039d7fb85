#include "sync/OutageTracker.h"

namespace redwingseam::sync {

bool OutageTracker::note(bool succeeded, base::Instant now)
{
    bool wasOut = m_isOut;
    m_isOut = !succeeded;
    if (!succeeded)
        return !wasOut;
    bool mayHaveLapsed = wasOut && m_lastSuccess != base::Instant {} && now - m_lastSuccess > shortestLapse;
    if (mayHaveLapsed)
        m_returnedAt = now;
    m_lastSuccess = now;
    return wasOut;
}

base::Duration OutageTracker::missingGrace(base::Instant now) const
{
    if (m_returnedAt == base::Instant {} || now - m_returnedAt >= returnGrace)
        return {};
    return returnGrace - (now - m_returnedAt);
}

} // namespace redwingseam::sync
