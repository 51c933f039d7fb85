// The part of a PartRegister that tries quarantined parts again.

#include "forward/PartRegister.h"

#include "forward/FormatParts.h"
#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <mutex>

namespace redwingseam::forward {

std::optional<base::Instant> PartRegister::quarantinedUntil(Parts parts, base::ClientHash account)
{
    std::optional<base::Instant> until;
    if (!m_quarantinedCount)
        return until;
    for (auto part : parts) {
        if (auto state = stateOf(part); state.verdict == PartVerdict::Quarantined)
            until = std::max(until, std::optional(TrialSchedule::nextTrialAt(state, account)));
    }
    return until;
}

bool PartRegister::isTrialDue(Parts parts, base::Instant now, base::ClientHash account)
{
    {
        std::lock_guard guard(m_mutex);
        if (removeOldCrashes(now))
            updateVerdicts();
    }
    return std::all_of(parts.begin(), parts.end(), [&](auto part) {
        auto state = stateOf(part);
        return state.verdict != PartVerdict::Quarantined || m_trials.isTurn(part, state, account, now);
    });
}

bool PartRegister::tryBeginTrial(Parts parts, base::Instant now, base::ClientHash account)
{
    if (!isTrialDue(parts, now, account))
        return false;
    std::vector<PartTrial> trials;
    for (auto part : parts) {
        auto verdict = PartVerdict::Sound;
        bool isTurn = withState(part, [&](States& states) {
            auto found = states.find(part);
            verdict = found == states.end() ? PartVerdict::Sound : found->second.verdict;
            if (verdict != PartVerdict::Quarantined)
                return true;
            if (!m_trials.isTurn(part, found->second, account, now))
                return false;
            found->second.lastTrialAt = now;
            ++found->second.trials;
            return true;
        });
        if (!isTurn)
            return false;
        if (verdict != PartVerdict::Quarantined)
            continue;
        trials.push_back({ part, now });
        LOG(WARNING) << log::LogLine("prompt_part_tried").with("part", formatParts({ &part, 1 })).text();
    }
    std::lock_guard guard(m_reportsMutex);
    for (const auto& trial : trials) {
        if (m_reports.trials.size() < maxReports)
            m_reports.trials.push_back(trial);
    }
    return true;
}

void PartRegister::cancelTrial(Parts parts, base::Instant startedAt)
{
    for (auto part : parts) {
        withState(part, [&](States& states) {
            auto found = states.find(part);
            if (found == states.end() || found->second.lastTrialAt != startedAt)
                return;
            found->second.lastTrialAt.reset();
            found->second.trials -= std::min(1U, found->second.trials);
        });
    }
    std::lock_guard guard(m_reportsMutex);
    std::erase_if(m_reports.trials, [&](const PartTrial& trial) {
        return trial.startedAt == startedAt && std::find(parts.begin(), parts.end(), trial.part) != parts.end();
    });
}

void PartRegister::addTrial(const PartTrial& trial)
{
    withState(trial.part, [&](States& states) {
        auto found = states.find(trial.part);
        if (found == states.end())
            return;
        auto& state = found->second;
        bool isAfterCrash = trial.startedAt >= state.lastCrashAt;
        bool isNew = !state.lastTrialAt || trial.startedAt - *state.lastTrialAt >= TrialSchedule::minInterval;
        state.trials += isAfterCrash && isNew;
        state.lastTrialAt = std::max(state.lastTrialAt, std::optional(trial.startedAt));
    });
}

} // namespace redwingseam::forward
