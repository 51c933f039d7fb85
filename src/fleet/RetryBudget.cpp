#include "fleet/RetryBudget.h"

#include <algorithm>

namespace redwingseam::fleet {

RetryBudget::Slot& RetryBudget::slotAt(base::Instant now)
{
    auto period = now.time_since_epoch() / slotLength;
    auto& slot = m_slots[static_cast<size_t>(period) % slotCount];
    if (slot.period != period)
        slot = Slot { period, 0, 0 };
    return slot;
}

void RetryBudget::countRequest(base::Instant now)
{
    ++slotAt(now).requests;
}

bool RetryBudget::tryAcquireRetry(const RetryLimits& limits, base::Instant now)
{
    auto period = now.time_since_epoch() / slotLength;
    // Includes one slot more than the window, because the window may begin in the middle of a slot.
    auto length = std::min<int64_t>(limits.window / slotLength + 1, slotCount);
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (const auto& slot : m_slots) {
        if (slot.period <= period - length || slot.period > period)
            continue;
        requests += slot.requests;
        retries += slot.retries;
    }
    if (retries + 1 > limits.ratio * requests + limits.slack)
        return false;
    ++slotAt(now).retries;
    return true;
}

} // namespace redwingseam::fleet
