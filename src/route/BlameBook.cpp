#include "route/BlameBook.h"

#include <algorithm>
#include <optional>

namespace redwingseam::route {

std::vector<membership::VerdictRecord> BlameBook::onUpstreamLost(const DeathId& death, std::span<const Casualty> casualties, base::Instant now)
{
    std::map<base::Fingerprint, Casualty> merged;
    for (const auto& casualty : casualties) {
        auto& entry = merged[casualty.fingerprint];
        entry.madeProgress |= casualty.madeProgress;
        entry.hasTokens |= casualty.hasTokens;
    }
    std::vector<membership::VerdictRecord> told;
    for (const auto& [fingerprint, casualty] : merged) {
        DeathMember member { hasOtherDeath(fingerprint, death) && !casualty.madeProgress, casualty.hasTokens };
        suspect(fingerprint, death, member, now);
        told.push_back({ fingerprint, false, member.wasSuspect, member.hasTokens, { death } });
    }
    return told;
}

bool BlameBook::hasOtherDeath(base::Fingerprint fingerprint, const DeathId& death) const
{
    // An upstream dies once in an incarnation; if it seems to do so twice, it is connections that break.
    auto known = m_suspects.find(fingerprint);
    return known != m_suspects.end() && std::any_of(known->second.deaths.begin(), known->second.deaths.end(), [&](const DeathId& other) { return other != death; });
}

void BlameBook::suspect(base::Fingerprint fingerprint, const DeathId& death, DeathMember member, base::Instant now)
{
    auto [record, isNew] = m_deaths.try_emplace(death);
    if (isNew)
        record->second.verdictAt = now + hearingTime;
    auto& known = record->second.members[fingerprint];
    known.wasSuspect |= member.wasSuspect;
    known.hasTokens |= member.hasTokens;
    if (m_convicts.contains(fingerprint))
        return;
    auto& entry = m_suspects[fingerprint];
    entry.deaths.insert(death);
    entry.latest = death;
    entry.at = now;
}

void BlameBook::learn(const membership::VerdictRecord& record, base::Instant now)
{
    if (record.isConvicted) {
        m_suspects.erase(record.fingerprint);
        m_convicts[record.fingerprint] = now;
        explain(record.deaths);
        return;
    }
    for (const auto& death : record.deaths) {
        // Two nodes that ran the same request at two deaths have each seen but one of them. One that has
        // brought tokens may have been cleared by the other node, which is not told.
        auto known = m_suspects.find(record.fingerprint);
        bool isSecondDeath = !record.hasTokens && known != m_suspects.end() && !known->second.deaths.contains(death);
        suspect(record.fingerprint, death, { record.wasSuspect || isSecondDeath, record.hasTokens }, now);
    }
}

std::optional<base::Fingerprint> BlameBook::onlySuspect(const DeathRecord& record) const
{
    std::optional<base::Fingerprint> only;
    for (const auto& [fingerprint, member] : record.members) {
        bool counts = member.wasSuspect && m_suspects.contains(fingerprint);
        if (counts && only)
            return std::nullopt;
        if (counts)
            only = fingerprint;
    }
    return only;
}

std::vector<membership::VerdictRecord> BlameBook::judge(base::Instant now)
{
    std::vector<membership::VerdictRecord> convictions;
    for (auto death = m_deaths.begin(); death != m_deaths.end();) {
        auto& record = (death++)->second;
        if (record.isDecided || now < record.verdictAt)
            continue;
        auto only = onlySuspect(record);
        // One that has brought tokens is less likely to be at fault: a conviction of another one that
        // has not may explain its first death meanwhile.
        bool mustWait = only && record.members.at(*only).hasTokens && now < record.verdictAt + doubtTime;
        if (mustWait)
            continue;
        record.isDecided = true;
        if (!only)
            continue;
        convictions.push_back(convict(*only, now));
        // The conviction takes deaths out of the table.
        death = m_deaths.begin();
    }
    return convictions;
}

membership::VerdictRecord BlameBook::convict(base::Fingerprint fingerprint, base::Instant now)
{
    auto suspect = m_suspects.extract(fingerprint);
    m_convicts[fingerprint] = now;
    const auto& deaths = suspect.mapped().deaths;
    membership::VerdictRecord record { fingerprint, true, false, false, { deaths.begin(), deaths.end() } };
    explain(record.deaths);
    return record;
}

void BlameBook::explain(std::span<const DeathId> deaths)
{
    for (const auto& death : deaths) {
        m_deaths.erase(death);
        for (auto& [fingerprint, suspect] : m_suspects)
            suspect.deaths.erase(death);
    }
    std::erase_if(m_suspects, [](const auto& item) { return item.second.deaths.empty(); });
}

void BlameBook::disprove(const DeathId& death)
{
    if (m_deaths.contains(death))
        explain(std::span(&death, 1));
}

void BlameBook::clear(base::Fingerprint fingerprint)
{
    m_suspects.erase(fingerprint);
}

Verdict BlameBook::verdict(base::Fingerprint fingerprint) const
{
    if (m_convicts.contains(fingerprint))
        return Verdict::Convicted;
    return m_suspects.contains(fingerprint) ? Verdict::Suspected : Verdict::Clear;
}

bool BlameBook::isHeard(base::Fingerprint fingerprint) const
{
    auto suspect = m_suspects.find(fingerprint);
    if (suspect == m_suspects.end())
        return true;
    auto death = m_deaths.find(suspect->second.latest);
    return death == m_deaths.end() || death->second.isDecided;
}

base::Instant BlameBook::hearingEnd(base::Fingerprint fingerprint) const
{
    auto suspect = m_suspects.find(fingerprint);
    if (suspect == m_suspects.end())
        return {};
    auto death = m_deaths.find(suspect->second.latest);
    return death == m_deaths.end() ? base::Instant {} : death->second.verdictAt;
}

SuspectPlace BlameBook::place(base::Fingerprint suspect) const
{
    SuspectPlace place { 0, 1, hearingEnd(suspect) };
    // Whoever was cleared since keeps its place, for other nodes do not know that it was.
    std::set<base::Fingerprint> members;
    for (const auto& [death, record] : m_deaths) {
        if (record.verdictAt + sameTime < place.hearingEnd)
            continue;
        for (const auto& [fingerprint, member] : record.members)
            members.insert(fingerprint);
    }
    auto found = members.find(suspect);
    if (found == members.end())
        return place;
    place.rank = static_cast<size_t>(std::distance(members.begin(), found));
    place.suspects = members.size();
    return place;
}

void BlameBook::expire(base::Instant oldest)
{
    std::erase_if(m_suspects, [&](const auto& item) { return item.second.at < oldest; });
    std::erase_if(m_convicts, [&](const auto& item) { return item.second < oldest; });
    std::erase_if(m_deaths, [&](const auto& item) { return item.second.verdictAt < oldest; });
}

} // namespace redwingseam::route
