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
    static constexpr unsigned minCrashes = 2;
    auto crashStep = std::min<size_t>(std::max(state.crashes, minCrashes) - minCrashes, intervals.size() - 1);
    auto step = std::max(crashStep, std::min<size_t>(crashStep + state.trials, lastStepOfTrials));
    auto interval = state.lastProgressAt ? std::min(intervals[step], maxProvenInterval) : intervals[step];
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
