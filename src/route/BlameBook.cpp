#include "route/BlameBook.h"

#include <algorithm>
#include <optional>

namespace redwingseam::route {

std::vector<VerdictChange> BlameBook::onUpstreamLost(std::span<const Casualty> casualties, base::Instant now)
{
    std::vector<VerdictChange> changes;
    std::optional<Casualty> onlySuspect;
    size_t suspects = 0;
    for (const auto& casualty : casualties) {
        if (verdict(casualty.fingerprint) == Verdict::Clear)
            continue;
        bool isRepeated = onlySuspect && onlySuspect->fingerprint == casualty.fingerprint;
        if (isRepeated) {
            onlySuspect->madeProgress |= casualty.madeProgress;
            continue;
        }
        ++suspects;
        onlySuspect = casualty;
    }
    if (suspects == 1 && !onlySuspect->madeProgress) {
        convict(onlySuspect->fingerprint, now, changes);
        return changes;
    }
    auto death = m_nextDeath++;
    for (const auto& casualty : casualties)
        suspect(casualty.fingerprint, death, now, changes);
    return changes;
}

void BlameBook::learn(base::Fingerprint fingerprint, Verdict verdict, base::Instant now)
{
    if (verdict == Verdict::Clear)
        return;
    auto& entry = m_entries[fingerprint];
    entry.verdict = std::max(entry.verdict, verdict);
    entry.at = now;
}

Verdict BlameBook::verdict(base::Fingerprint fingerprint) const
{
    auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? Verdict::Clear : found->second.verdict;
}

void BlameBook::expire(base::Instant oldest)
{
    std::erase_if(m_entries, [&](const auto& item) { return item.second.at < oldest; });
}

void BlameBook::convict(base::Fingerprint fingerprint, base::Instant now, std::vector<VerdictChange>& changes)
{
    auto& entry = m_entries[fingerprint];
    auto explained = std::exchange(entry.deaths, {});
    entry.verdict = Verdict::Convicted;
    entry.at = now;
    changes.push_back({ fingerprint, Verdict::Convicted });
    for (auto death : explained)
        clearDeath(death, changes);
}

void BlameBook::suspect(base::Fingerprint fingerprint, uint64_t death, base::Instant now, std::vector<VerdictChange>& changes)
{
    auto& entry = m_entries[fingerprint];
    entry.at = now;
    if (std::find(entry.deaths.begin(), entry.deaths.end(), death) == entry.deaths.end())
        entry.deaths.push_back(death);
    if (entry.verdict != Verdict::Clear)
        return;
    entry.verdict = Verdict::Suspected;
    changes.push_back({ fingerprint, Verdict::Suspected });
}

void BlameBook::clearDeath(uint64_t death, std::vector<VerdictChange>& changes)
{
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto& entry = item->second;
        bool wasBlamed = std::erase(entry.deaths, death) > 0;
        bool isCleared = wasBlamed && entry.deaths.empty() && entry.verdict == Verdict::Suspected;
        if (!isCleared) {
            ++item;
            continue;
        }
        changes.push_back({ item->first, Verdict::Clear });
        item = m_entries.erase(item);
    }
}

} // namespace redwingseam::route
