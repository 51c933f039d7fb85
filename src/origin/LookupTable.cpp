#include "origin/LookupTable.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::origin {

Lookup LookupTable::use(const base::ClientAttemptId& attempt, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    auto& lookup = m_lookups.try_emplace(attempt, Lookup { now }).first->second;
    lookup.lastUsedAt = now;
    return lookup;
}

void LookupTable::end(const base::ClientAttemptId& attempt)
{
    std::lock_guard guard(m_mutex);
    m_lookups.erase(attempt);
}

bool LookupTable::isStoreNeeded()
{
    std::lock_guard guard(m_mutex);
    return std::any_of(m_lookups.begin(), m_lookups.end(), [](const auto& item) { return !item.second.answer && !item.second.isMissingInStore; });
}

void LookupTable::answerFromStore(const std::vector<StreamRecord>& records, base::Instant readBegan)
{
    std::lock_guard guard(m_mutex);
    answer(records, OriginSource::Store);
    for (auto& [attempt, lookup] : m_lookups) {
        if (lookup.beganAt <= readBegan)
            lookup.isMissingInStore = true;
    }
}

void LookupTable::answerFromPeer(const std::vector<StreamRecord>& records)
{
    std::lock_guard guard(m_mutex);
    answer(records, OriginSource::Peer);
}

void LookupTable::recordAsked(const std::vector<base::ClientAttemptId>& attempts, const std::vector<base::VmName>& nodes)
{
    std::lock_guard guard(m_mutex);
    for (const auto& attempt : attempts) {
        if (auto found = m_lookups.find(attempt); found != m_lookups.end())
            found->second.askedNodes = nodes;
    }
}

void LookupTable::recordDisclaimer(const std::vector<base::ClientAttemptId>& attempts, const Disclaimer& disclaimer)
{
    std::lock_guard guard(m_mutex);
    for (const auto& attempt : attempts) {
        if (auto found = m_lookups.find(attempt); found != m_lookups.end())
            found->second.disclaimers.push_back(disclaimer);
    }
}

void LookupTable::answer(const std::vector<StreamRecord>& records, OriginSource source)
{
    for (const auto& record : records) {
        auto found = m_lookups.find(record.attempt);
        if (found == m_lookups.end() || found->second.answer)
            continue;
        found->second.answer = record.origin;
        found->second.source = source;
    }
}

std::vector<base::ClientAttemptId> LookupTable::takeQuestions(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    std::erase_if(m_lookups, [&](const auto& item) { return now - item.second.lastUsedAt > unusedLifetime; });
    std::vector<base::ClientAttemptId> attempts;
    for (auto& [attempt, lookup] : m_lookups) {
        bool isStoreLate = lookup.isMissingInStore || now - lookup.beganAt >= storeReadTime;
        if (lookup.answer || lookup.peersAskedAt != base::Instant {} || !isStoreLate)
            continue;
        lookup.peersAskedAt = now;
        attempts.push_back(attempt);
    }
    return attempts;
}

} // namespace redwingseam::origin
