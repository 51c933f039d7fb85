#include "forward/TrialSchedule.h"

#include <algorithm>

namespace redwingseam::forward {

void TrialSchedule::setPosition(uint32_t position, uint32_t nodeCount)
{
    m_position = position;
    m_nodeCount = std::max(1U, nodeCount);
}

base::Instant TrialSchedule::nextTrialAt(const PartState& state)
{
    if (state.crashes >= maxCrashes)
        return base::Instant::max();
    auto interval = firstInterval;
    static constexpr unsigned minCrashes = 2;
    for (auto crashes = minCrashes; crashes < state.crashes; ++crashes)
        interval *= growth;
    return std::max(state.lastCrashAt, state.lastTrialAt.value_or(state.lastCrashAt)) + interval;
}

bool TrialSchedule::isTurn(base::PromptPartHash part, const PartState& state, base::Instant now) const
{
    auto dueAt = nextTrialAt(state);
    if (now < dueAt)
        return false;
    uint64_t nodeCount = m_nodeCount;
    static constexpr int64_t maxDoublings = 32;
    auto allowedNodes = uint64_t { 1 } << std::min<int64_t>((now - dueAt) / turnDuration, maxDoublings);
    // Each part begins with another node.
    auto place = (m_position + part.value % nodeCount) % nodeCount;
    return place < allowedNodes;
}

} // namespace redwingseam::forward
