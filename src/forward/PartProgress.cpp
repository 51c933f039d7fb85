// The part of a PartRegister that learns and reports the progress of requests.

#include "forward/PartRegister.h"

#include "forward/PartEvidence.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::forward {

void PartRegister::reportProgress(const PartCrash& crash)
{
    for (auto part : crash.parts) {
        auto progressAt = takeUnreportedProgress(part, crash.lostAt);
        if (!progressAt)
            continue;
        addClearance({ part, *progressAt });
        std::lock_guard guard(m_reportsMutex);
        if (m_reports.clearances.size() < maxReports)
            m_reports.clearances.push_back({ part, *progressAt });
    }
}

std::optional<base::Instant> PartRegister::takeUnreportedProgress(base::PromptPartHash part, base::Instant lostAt)
{
    return withState(part, [&](States& states) -> std::optional<base::Instant> {
        auto found = states.find(part);
        if (found == states.end())
            return std::nullopt;
        auto& state = found->second;
        if (soundnessAt(lostAt, state.lastProgressAt) <= soundnessAt(lostAt, state.reportedProgressAt))
            return std::nullopt;
        state.reportedProgressAt = state.lastProgressAt;
        return state.lastProgressAt;
    });
}

void PartRegister::setProgressReported(const PartClearance& clearance)
{
    withState(clearance.part, [&](States& states) {
        auto& state = stateIn(states, clearance.part);
        state.reportedProgressAt = std::max(state.reportedProgressAt, std::optional(clearance.progressAt));
    });
}

bool PartRegister::addProgress(base::PromptPartHash part, base::Instant at)
{
    return withState(part, [&](States& states) {
        auto& state = stateIn(states, part);
        state.lastProgressAt = std::max(state.lastProgressAt, std::optional(at));
        return state.isPossibleCause;
    });
}

void PartRegister::recordProgress(Parts parts, base::Instant now)
{
    std::vector<PartClearance> clearances;
    for (auto part : parts) {
        if (addProgress(part, now))
            clearances.push_back({ part, now });
    }
    if (clearances.empty())
        return;
    std::lock_guard guard(m_mutex);
    for (const auto& clearance : clearances) {
        setProgressReported(clearance);
        addClearance(clearance);
    }
    updateVerdicts();
    std::lock_guard reportsGuard(m_reportsMutex);
    for (const auto& clearance : clearances) {
        if (m_reports.clearances.size() < maxReports)
            m_reports.clearances.push_back(clearance);
    }
}

void PartRegister::addClearance(const PartClearance& clearance)
{
    auto& clearances = m_evidence.clearances;
    if (std::any_of(clearances.begin(), clearances.end(), [&](const PartClearance& known) { return known.part == clearance.part && known.progressAt >= clearance.progressAt; }))
        return;
    std::erase_if(clearances, [&](const PartClearance& known) { return known.part == clearance.part; });
    if (clearances.size() >= maxClearances)
        clearances.pop_front();
    clearances.push_back(clearance);
}

} // namespace redwingseam::forward
