#include "route/CrashAttribution.h"

#include <algorithm>
#include <optional>

namespace redwingseam::route {

std::vector<membership::CrashReport> CrashAttribution::recordCrash(const CrashId& crash, std::span<const InterruptedRequest> interrupted, base::Instant now)
{
    std::map<base::Fingerprint, InterruptedRequest> merged;
    for (const auto& request : interrupted) {
        auto& entry = merged[request.fingerprint];
        entry.madeProgress |= request.madeProgress;
        entry.hasTokens |= request.hasTokens;
    }
    std::vector<membership::CrashReport> reports;
    for (const auto& [fingerprint, request] : merged) {
        CrashCandidate candidate { hasOtherCrash(fingerprint, crash) && !request.madeProgress, request.hasTokens };
        addSuspect(fingerprint, crash, candidate, now);
        reports.push_back({ fingerprint, false, candidate.wasSuspect, candidate.hasTokens, { crash } });
    }
    return reports;
}

bool CrashAttribution::hasOtherCrash(base::Fingerprint fingerprint, const CrashId& crash) const
{
    // An upstream crashes at most once in an incarnation. If it seems to crash twice, connections break while
    // it is alive.
    auto known = m_suspects.find(fingerprint);
    return known != m_suspects.end() && std::any_of(known->second.crashes.begin(), known->second.crashes.end(), [&](const CrashId& other) { return other != crash; });
}

void CrashAttribution::addSuspect(base::Fingerprint fingerprint, const CrashId& crash, CrashCandidate candidate, base::Instant now)
{
    auto [record, isNew] = m_crashes.try_emplace(crash);
    if (isNew)
        record->second.reportWindowEnd = now + reportWindow;
    auto& known = record->second.candidates[fingerprint];
    known.wasSuspect |= candidate.wasSuspect;
    known.hasTokens |= candidate.hasTokens;
    if (m_quarantined.contains(fingerprint))
        return;
    auto& entry = m_suspects[fingerprint];
    entry.crashes.insert(crash);
    entry.latestCrash = crash;
    entry.suspectedAt = now;
}

void CrashAttribution::applyReport(const membership::CrashReport& report, base::Instant now)
{
    if (report.isQuarantined) {
        m_suspects.erase(report.fingerprint);
        m_quarantined[report.fingerprint] = now;
        removeCrashes(report.crashes);
        return;
    }
    for (const auto& crash : report.crashes) {
        // If two nodes ran the same request at two crashes, each of them has seen only one, so the second
        // crash is detected here. A request that has produced tokens is excepted: the other node may have
        // cleared it, which is not reported.
        auto known = m_suspects.find(report.fingerprint);
        bool isSecondCrash = !report.hasTokens && known != m_suspects.end() && !known->second.crashes.contains(crash);
        addSuspect(report.fingerprint, crash, { report.wasSuspect || isSecondCrash, report.hasTokens }, now);
    }
}

std::optional<base::Fingerprint> CrashAttribution::soleSuspect(const CrashRecord& record) const
{
    std::optional<base::Fingerprint> onlySuspect;
    for (const auto& [fingerprint, candidate] : record.candidates) {
        bool counts = candidate.wasSuspect && m_suspects.contains(fingerprint);
        if (counts && onlySuspect)
            return std::nullopt;
        if (counts)
            onlySuspect = fingerprint;
    }
    return onlySuspect;
}

std::vector<membership::CrashReport> CrashAttribution::attributeCrashes(base::Instant now)
{
    std::vector<membership::CrashReport> quarantines;
    for (auto crash = m_crashes.begin(); crash != m_crashes.end();) {
        auto& record = (crash++)->second;
        if (record.isDecided || now < record.reportWindowEnd)
            continue;
        auto onlySuspect = soleSuspect(record);
        // A request that has produced tokens is less likely to be the cause. Its first crash may be
        // attributed meanwhile to another request that has not produced any.
        bool mustWait = onlySuspect && record.candidates.at(*onlySuspect).hasTokens && now < record.reportWindowEnd + tokenGracePeriod;
        if (mustWait)
            continue;
        record.isDecided = true;
        if (!onlySuspect)
            continue;
        quarantines.push_back(quarantine(*onlySuspect, now));
        // The quarantine has removed crashes from the map, so the iterator may be invalid.
        crash = m_crashes.begin();
    }
    return quarantines;
}

membership::CrashReport CrashAttribution::quarantine(base::Fingerprint fingerprint, base::Instant now)
{
    auto suspect = m_suspects.extract(fingerprint);
    m_quarantined[fingerprint] = now;
    const auto& crashes = suspect.mapped().crashes;
    membership::CrashReport report { fingerprint, true, false, false, { crashes.begin(), crashes.end() } };
    removeCrashes(report.crashes);
    return report;
}

void CrashAttribution::removeCrashes(std::span<const CrashId> crashes)
{
    for (const auto& crash : crashes) {
        m_crashes.erase(crash);
        for (auto& [fingerprint, suspect] : m_suspects)
            suspect.crashes.erase(crash);
    }
    std::erase_if(m_suspects, [](const auto& item) { return item.second.crashes.empty(); });
}

void CrashAttribution::retractCrash(const CrashId& crash)
{
    if (m_crashes.contains(crash))
        removeCrashes(std::span(&crash, 1));
}

void CrashAttribution::recordProgress(base::Fingerprint fingerprint)
{
    m_suspects.erase(fingerprint);
}

QuarantineState CrashAttribution::quarantineState(base::Fingerprint fingerprint) const
{
    if (m_quarantined.contains(fingerprint))
        return QuarantineState::Quarantined;
    return m_suspects.contains(fingerprint) ? QuarantineState::Suspected : QuarantineState::Clear;
}

bool CrashAttribution::isLatestCrashDecided(base::Fingerprint fingerprint) const
{
    auto suspect = m_suspects.find(fingerprint);
    if (suspect == m_suspects.end())
        return true;
    auto crash = m_crashes.find(suspect->second.latestCrash);
    return crash == m_crashes.end() || crash->second.isDecided;
}

base::Instant CrashAttribution::reportWindowEnd(base::Fingerprint fingerprint) const
{
    auto suspect = m_suspects.find(fingerprint);
    if (suspect == m_suspects.end())
        return {};
    auto crash = m_crashes.find(suspect->second.latestCrash);
    return crash == m_crashes.end() ? base::Instant {} : crash->second.reportWindowEnd;
}

SuspectPosition CrashAttribution::position(base::Fingerprint suspect) const
{
    SuspectPosition position { 0, 1, reportWindowEnd(suspect) };
    // Candidates that have been cleared since keep their position, because other nodes do not know that they
    // were.
    std::set<base::Fingerprint> candidates;
    for (const auto& [crash, record] : m_crashes) {
        if (record.reportWindowEnd + concurrentCrashWindow < position.reportWindowEnd)
            continue;
        for (const auto& [fingerprint, candidate] : record.candidates)
            candidates.insert(fingerprint);
    }
    auto found = candidates.find(suspect);
    if (found == candidates.end())
        return position;
    position.index = static_cast<size_t>(std::distance(candidates.begin(), found));
    position.candidateCount = candidates.size();
    return position;
}

void CrashAttribution::expire(base::Instant oldest)
{
    std::erase_if(m_suspects, [&](const auto& item) { return item.second.suspectedAt < oldest; });
    std::erase_if(m_quarantined, [&](const auto& item) { return item.second < oldest; });
    std::erase_if(m_crashes, [&](const auto& item) { return item.second.reportWindowEnd < oldest; });
}

} // namespace redwingseam::route
