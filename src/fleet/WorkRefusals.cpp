#include "fleet/WorkRefusals.h"

#include <algorithm>
#include <utility>

namespace redwingseam::fleet {

WorkRefusals::Record* WorkRefusals::recordFor(const base::UpstreamName& upstream, uint64_t incarnation, base::Instant now)
{
    if (m_records.size() >= maxRecords && !m_records.contains(upstream))
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) { return left.second.lastUsedAt < right.second.lastUsedAt; }));
    auto& record = m_records[upstream];
    if (incarnation < record.incarnation)
        return nullptr;
    if (incarnation > record.incarnation)
        record = { incarnation };
    record.lastUsedAt = std::max(record.lastUsedAt, now);
    return &record;
}

bool WorkRefusals::recordLeaving(const base::UpstreamName& upstream, uint64_t incarnation, base::Instant now)
{
    auto* record = recordFor(upstream, incarnation, now);
    return record && !std::exchange(record->refusal.isLeaving, true);
}

base::Duration WorkRefusals::recordDeferral(const base::UpstreamName& upstream, uint64_t incarnation, base::Duration wait, base::Instant now)
{
    auto bounded = std::min(wait, maxDeferral);
    if (auto* record = recordFor(upstream, incarnation, now))
        record->refusal.deferredUntil = std::max(record->refusal.deferredUntil, now + bounded);
    return bounded;
}

WorkRefusal WorkRefusals::refusalOf(const UpstreamInstance& instance, base::Instant now)
{
    auto found = m_records.find(instance.id);
    // A list that still names the incarnation before is old.
    if (found == m_records.end() || found->second.incarnation < instance.incarnation)
        return {};
    found->second.lastUsedAt = std::max(found->second.lastUsedAt, now);
    return found->second.refusal;
}

void WorkRefusals::removeOld(base::Instant now)
{
    std::erase_if(m_records, [&](const auto& item) { return now - item.second.lastUsedAt > retention; });
}

void WorkRefusals::recordRemoval(const UpstreamInstance& instance)
{
    // Without a start time, an entry that comes back cannot be told from that of a restarted upstream.
    auto found = m_records.find(instance.id);
    if (found != m_records.end() && !found->second.incarnation)
        found->second.refusal.isLeaving = false;
}

} // namespace redwingseam::fleet
