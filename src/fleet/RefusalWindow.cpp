#include "fleet/RefusalWindow.h"

#include <algorithm>
#include <cmath>

namespace redwingseam::fleet {

double RefusalWindow::remaining(base::Instant now) const
{
    using Seconds = std::chrono::duration<double>;
    return now <= m_updatedAt ? 1 : std::exp2(-(Seconds(now - m_updatedAt) / Seconds(halfLife)));
}

void RefusalWindow::record(bool isRefused, base::Instant now)
{
    auto share = remaining(now);
    m_asked = m_asked * share + 1;
    m_refused = m_refused * share + (isRefused ? 1 : 0);
    m_updatedAt = std::max(m_updatedAt, now);
}

} // namespace redwingseam::fleet
