#include "forward/TrialSchedule.h"

#include <algorithm>

namespace redwingseam::forward {

base::Instant TrialSchedule::nextTrialAt(const PartState& state, base::ClientHash account)
{
    bool isOtherAccount = state.soleAccount.value && account.value && account != state.soleAccount;
    if (isOtherAccount)
        return std::max(state.lastCrashAt, state.lastTrialAt ? *state.lastTrialAt + minInterval : state.lastCrashAt);
    static constexpr unsigned minCrashes = 2;
    auto crashStep = std::min<size_t>(std::max(state.crashes, minCrashes) - minCrashes, intervals.size() - 1);
    auto step = std::max(crashStep, std::min<size_t>(crashStep + state.trials, lastStepOfTrials));
    auto interval = state.lastProgressAt ? std::min(intervals[step], maxProvenInterval) : intervals[step];
    return std::max(state.lastCrashAt, state.lastTrialAt.value_or(state.lastCrashAt)) + interval;
}

bool TrialSchedule::isTurn(base::PromptPartHash part, const PartState& state, base::ClientHash account, base::Instant now) const
{
    return m_turns.isTurn(part.value, nextTrialAt(state, account), now);
}

} // namespace redwingseam::forward
