#include "route/ConcurrencyLimit.h"

#include <algorithm>

namespace redwingseam::route {

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots, uint32_t nodesSharing, uint64_t initialFraction)
    : m_slots(std::max(1U, slots))
    , m_nodesSharing(std::max(1U, nodesSharing))
    , m_value(std::max(1U, (m_slots - reserve()) / m_nodesSharing))
    , m_fraction(static_cast<int64_t>(initialFraction % unitsPerRequest))
{
}

int64_t ConcurrencyLimit::target() const
{
    return m_slots - reserve();
}

uint32_t ConcurrencyLimit::reserve() const
{
    static constexpr uint32_t slotsPerReserved = 8;
    return m_slots / slotsPerReserved;
}

void ConcurrencyLimit::observe(uint32_t running, uint32_t waiting, uint32_t ownRequests)
{
    auto used = static_cast<int64_t>(running) + waiting;
    auto excess = used - target();
    bool wantsMore = ownRequests >= m_value;
    // Reports are late. Free slots are therefore taken in steps, while an overloaded upstream is relieved at
    // once.
    static constexpr int64_t growthDivisor = 8;
    if (excess > 0)
        m_fraction -= unitsPerRequest * excess / m_nodesSharing;
    else if (wantsMore)
        m_fraction -= unitsPerRequest * excess / growthDivisor / m_nodesSharing;
    while (m_fraction >= unitsPerRequest) {
        m_fraction -= unitsPerRequest;
        m_value = std::min(m_slots, m_value + 1);
    }
    while (m_fraction < 0) {
        m_fraction += unitsPerRequest;
        m_value = std::max(1U, m_value - 1);
    }
}

} // namespace redwingseam::route
