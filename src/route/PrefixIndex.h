#pragma once

#include "redwingseam/base/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::route {

// Which upstreams probably hold the cache of which prompt prefix. Learnt from own dispatches and from
// cache events that may be late or missing, so an entry is a hint. Bounded; the oldest prefix goes first.
class PrefixIndex {
public:
    static constexpr size_t maxHolders = 3;

    void add(uint64_t prefixHash, uint32_t upstreamIndex);
    void remove(uint64_t prefixHash, uint32_t upstreamIndex);

    // Depth in blocks to which each upstream holds the prefix, deepest holders first.
    struct Holder {
        uint32_t upstreamIndex;
        uint32_t depth;
    };
    std::vector<Holder> holders(std::span<const uint64_t> prefixHashes) const;
    size_t size() const { return m_entries.size(); }

private:
    static constexpr size_t maxEntries = 16384;

    struct Entry {
        std::array<uint32_t, maxHolders> upstreams {};
        uint8_t count = 0;
    };

    std::unordered_map<uint64_t, Entry> m_entries;
    std::deque<uint64_t> m_insertionOrder;
};

} // namespace redwingseam::route
