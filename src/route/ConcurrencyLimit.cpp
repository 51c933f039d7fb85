#include "route/ConcurrencyLimit.h"

#include <algorithm>

namespace redwingseam::route {

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots, uint32_t nodesSharing)
    : m_slots(std::max(1U, slots))
    , m_value(std::clamp((slots + nodesSharing - 1) / std::max(1U, nodesSharing), 1U, m_slots))
{
}

void ConcurrencyLimit::observe(uint32_t running, uint32_t waiting, uint32_t own)
{
    bool isQueueing = waiting > 0;
    bool hasRoom = running < m_slots;
    if (isQueueing && own > 1)
        m_value = std::max(1U, m_value * 4 / 5);
    else if (!isQueueing && hasRoom && own >= m_value)
        m_value = std::min(m_slots, m_value + 1);
}

} // namespace redwingseam::route
