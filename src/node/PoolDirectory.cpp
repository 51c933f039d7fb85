#include "node/PoolDirectory.h"

#include <charconv>
#include <mutex>

namespace redwingseam::node {

uint64_t poolVersion(const base::PoolName& pool)
{
    auto at = pool.text.find('@');
    uint64_t version = 0;
    if (at != std::string::npos)
        std::from_chars(pool.text.data() + at + 1, pool.text.data() + pool.text.size(), version);
    return version;
}

void PoolDirectory::update(const route::UpstreamRecord& record)
{
    std::lock_guard guard(m_mutex);
    auto [slot, isNew] = m_upstreams.try_emplace(record.name, record);
    bool wasLive = !isNew && slot->second.state == route::UpstreamState::Live;
    if (wasLive)
        --m_pools[slot->second.pool].live;
    slot->second = record;
    auto& count = m_pools[record.pool];
    if (record.state == route::UpstreamState::Live)
        ++count.live;
}

std::optional<base::PoolName> PoolDirectory::poolOf(const base::UpstreamName& name)
{
    std::lock_guard guard(m_mutex);
    auto found = m_upstreams.find(name);
    if (found == m_upstreams.end())
        return std::nullopt;
    return found->second.pool;
}

bool PoolDirectory::isEmpty()
{
    std::lock_guard guard(m_mutex);
    return m_pools.empty();
}

std::optional<base::PoolName> PoolDirectory::resolve(std::string_view target)
{
    std::lock_guard guard(m_mutex);
    base::PoolName exact { std::string(target) };
    if (m_pools.contains(exact))
        return exact;
    std::optional<base::PoolName> best;
    bool isBestLive = false;
    base::PoolName prefix { std::string(target) + "@" };
    for (auto item = m_pools.lower_bound(prefix); item != m_pools.end() && item->first.text.starts_with(prefix.text); ++item) {
        bool isLive = item->second.live > 0;
        bool isBetter = !best || (isLive && !isBestLive) || (isLive == isBestLive && poolVersion(item->first) > poolVersion(*best));
        if (!isBetter)
            continue;
        best = item->first;
        isBestLive = isLive;
    }
    return best;
}

} // namespace redwingseam::node
