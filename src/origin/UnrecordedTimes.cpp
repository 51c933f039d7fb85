#include "origin/UnrecordedTimes.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace redwingseam::origin {

void UnrecordedTimes::setStored(const std::vector<NodeRecords>& nodes, base::Instant now, uint64_t wallNow)
{
    std::lock_guard guard(m_mutex);
    m_readAt = now;
    m_readAtTimeOfDay = wallNow;
    m_stored.clear();
    for (const auto& node : nodes)
        m_stored[node.node] = node.coverage;
}

void UnrecordedTimes::setKeptSince(const base::VmName& self, sync::StoreVersion version)
{
    std::lock_guard guard(m_mutex);
    m_self = self;
    m_keptSince = version;
}

std::optional<sync::StoreVersion> UnrecordedTimes::keptSince() const
{
    std::lock_guard guard(m_mutex);
    return m_keptSince;
}

std::optional<sync::StoreVersion> UnrecordedTimes::disclaimedSince(const Lookup& lookup, const base::VmName& node) const
{
    if (node == m_self)
        return m_keptSince;
    auto found = std::find_if(lookup.disclaimers.begin(), lookup.disclaimers.end(), [&](const Disclaimer& disclaimer) { return disclaimer.node == node; });
    return found == lookup.disclaimers.end() ? std::nullopt : std::optional(found->keptSince);
}

uint64_t UnrecordedTimes::timeOfDay(base::Instant at) const
{
    std::lock_guard guard(m_mutex);
    return m_readAtTimeOfDay + static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(at - m_readAt).count());
}

std::optional<std::vector<RecordGap>> UnrecordedTimes::gapsOf(const Lookup& lookup, uint64_t oldest) const
{
    std::lock_guard guard(m_mutex);
    if (!lookup.isMissingInStore || !lookup.askedNodes || !m_keptSince)
        return std::nullopt;
    // A node without an object in the store may have begun streams at any time.
    auto nodes = m_stored;
    for (const auto& node : *lookup.askedNodes)
        nodes.try_emplace(node);
    nodes.try_emplace(m_self);
    std::vector<RecordGap> gaps;
    for (auto& [node, coverage] : nodes) {
        coverage.removeOlderThan(oldest);
        auto since = disclaimedSince(lookup, node);
        // The object is that of the process that lives, and has the gaps of those before.
        bool isOwnObject = since && *since < coverage.writtenThrough;
        if (!isOwnObject)
            coverage.beginGap();
        if (since)
            coverage.endGaps(*since, 0);
        gaps.insert(gaps.end(), coverage.gaps.begin(), coverage.gaps.end());
    }
    return gaps;
}

} // namespace redwingseam::origin
