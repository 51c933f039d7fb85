#include "forward/AttemptPair.h"

#include <utility>

namespace redwingseam::forward {

void AttemptPair::begin(fleet::Placement placement, bool isFirstContact, base::Instant now)
{
    m_current = {};
    m_current.placement = std::move(placement);
    m_current.isFirstContact = isFirstContact;
    m_current.sentAt = now;
    m_current.writtenAt = now;
    m_current.lastActivity = now;
    m_current.lastProbe = now;
}

void AttemptPair::keepCurrent()
{
    m_kept = m_current;
}

std::optional<Attempt> AttemptPair::takeKept()
{
    return std::exchange(m_kept, std::nullopt);
}

void AttemptPair::goBack(bool isBackupMissing)
{
    m_current = *takeKept();
    m_current.isProbing = false;
    m_current.isBackupMissing |= isBackupMissing;
}

void AttemptPair::recordKeptActivity(base::Instant now)
{
    if (m_kept)
        m_kept->recordActivity(now);
}

void AttemptPair::discountPause(base::Duration pause, base::Instant now)
{
    m_current.discountPause(pause, now);
    if (m_kept)
        m_kept->discountPause(pause, now);
}

bool AttemptPair::isKeptOverdue(base::Instant now) const
{
    return mayBothRun() && m_keepLimit && now - m_current.writtenAt >= *m_keepLimit;
}

} // namespace redwingseam::forward
