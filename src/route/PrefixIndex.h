#pragma once

#include "redwingseam/base/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::route {

// Maps prompt prefixes to the upstreams that probably hold them in their prefix cache. The entries come from
// this node's dispatches and from cache events that may be late or missing, so an entry is only a hint. The
// index is bounded: the prefix that was added first is evicted first.
class PrefixIndex {
public:
    static constexpr size_t maxHolders = 3;

    void add(uint64_t prefixHash, uint32_t upstreamIndex);
    void remove(uint64_t prefixHash, uint32_t upstreamIndex);

    // An upstream that holds a prefix of the prompt, and the length of that prefix in the blocks of
    // prefixHashes().
    struct Holder {
        uint32_t upstreamIndex;
        uint32_t depth;
    };
    // Returns at least the `maxHolders` upstreams that hold the longest prefixes, if there are that many,
    // longest prefix first. Each upstream is listed once.
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
