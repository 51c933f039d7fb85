#include "route/PrefixIndex.h"

#include <algorithm>

namespace redwingseam::route {

void PrefixIndex::add(uint64_t prefixHash, uint32_t upstreamIndex)
{
    auto [slot, isNew] = m_entries.try_emplace(prefixHash);
    if (isNew)
        m_insertionOrder.push_back(prefixHash);
    auto& entry = slot->second;
    auto end = entry.upstreams.begin() + entry.count;
    auto found = std::find(entry.upstreams.begin(), end, upstreamIndex);
    // The latest holder comes first; the oldest one is evicted.
    if (found == end && entry.count < maxHolders)
        ++entry.count;
    if (found == entry.upstreams.end())
        --found;
    std::rotate(entry.upstreams.begin(), found, found + 1);
    entry.upstreams[0] = upstreamIndex;
    if (m_entries.size() > maxEntries) {
        m_entries.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

void PrefixIndex::remove(uint64_t prefixHash, uint32_t upstreamIndex)
{
    auto found = m_entries.find(prefixHash);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    auto end = entry.upstreams.begin() + entry.count;
    entry.count = static_cast<uint8_t>(std::remove(entry.upstreams.begin(), end, upstreamIndex) - entry.upstreams.begin());
}

std::vector<PrefixIndex::Holder> PrefixIndex::holders(std::span<const uint64_t> prefixHashes) const
{
    std::vector<Holder> result;
    for (size_t depth = prefixHashes.size(); depth > 0 && result.size() < maxHolders; --depth) {
        auto found = m_entries.find(prefixHashes[depth - 1]);
        if (found == m_entries.end())
            continue;
        for (size_t i = 0; i < found->second.count; ++i) {
            auto upstream = found->second.upstreams[i];
            auto isSame = [&](const Holder& holder) { return holder.upstreamIndex == upstream; };
            if (std::none_of(result.begin(), result.end(), isSame))
                result.push_back({ upstream, static_cast<uint32_t>(depth) });
        }
    }
    return result;
}

} // namespace redwingseam::route
