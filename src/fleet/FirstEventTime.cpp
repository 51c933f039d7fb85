#include "fleet/FirstEventTime.h"

#include "base/ScaledDuration.h"

#include <algorithm>

namespace redwingseam::fleet {

void FirstEventTime::record(base::Duration duration, base::Instant now)
{
    auto before = mean(now);
    m_mean = before == base::Duration {} ? duration : before + base::scaled(duration - before, latestShare);
    m_recordedAt = std::max(m_recordedAt, now);
}

base::Duration FirstEventTime::mean(base::Instant now) const
{
    return now - m_recordedAt < memory ? m_mean : base::Duration {};
}

} // namespace redwingseam::fleet
