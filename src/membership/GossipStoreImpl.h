#pragma once

#include "base/Hash.h"
#include "membership/GossipStore.h"

namespace redwingseam::membership {

inline uint64_t keyHash(const GossipKey& key)
{
    return base::hashBytes(key.subject, static_cast<uint64_t>(key.kind));
}

inline uint64_t versionHash(const GossipEntry& entry)
{
    return base::hashCombine(base::hashCombine(keyHash(entry.key), entry.incarnation), entry.sequence);
}

template<typename Rules>
bool GossipStore<Rules>::merge(const GossipEntry& entry)
{
    return m_buckets.with(keyHash(entry.key), [&](GossipBucket& bucket) {
        auto [slot, isNew] = bucket.entries.try_emplace(entry.key, entry);
        if (!isNew) {
            if (!Rules::replaces(entry, slot->second))
                return false;
            bucket.hash ^= versionHash(slot->second);
            slot->second = entry;
        }
        bucket.hash ^= versionHash(entry);
        return true;
    });
}

template<typename Rules>
std::optional<GossipEntry> GossipStore<Rules>::find(const GossipKey& key)
{
    return m_buckets.with(keyHash(key), [&](GossipBucket& bucket) -> std::optional<GossipEntry> {
        auto found = bucket.entries.find(key);
        if (found == bucket.entries.end())
            return std::nullopt;
        return found->second;
    });
}

template<typename Rules>
std::vector<GossipEntry> GossipStore<Rules>::all(GossipKind kind)
{
    std::vector<GossipEntry> result;
    m_buckets.forEach([&](GossipBucket& bucket) {
        for (auto item = bucket.entries.lower_bound({ kind, {} }); item != bucket.entries.end() && item->first.kind == kind; ++item)
            result.push_back(item->second);
    });
    return result;
}

template<typename Rules>
std::vector<GossipEntry> GossipStore<Rules>::bucket(size_t index)
{
    return m_buckets.with(index, [](GossipBucket& bucket) {
        std::vector<GossipEntry> entries;
        for (const auto& [key, entry] : bucket.entries)
            entries.push_back(entry);
        return entries;
    });
}

template<typename Rules>
BucketHashes GossipStore<Rules>::hashes()
{
    BucketHashes result {};
    size_t index = 0;
    m_buckets.forEach([&](GossipBucket& bucket) { result[index++] = bucket.hash; });
    return result;
}

template<typename Rules>
size_t GossipStore<Rules>::size()
{
    size_t total = 0;
    m_buckets.forEach([&](GossipBucket& bucket) { total += bucket.entries.size(); });
    return total;
}

template<typename Rules>
void GossipStore<Rules>::erase(const GossipKey& key)
{
    m_buckets.with(keyHash(key), [&](GossipBucket& bucket) {
        auto found = bucket.entries.find(key);
        if (found == bucket.entries.end())
            return;
        bucket.hash ^= versionHash(found->second);
        bucket.entries.erase(found);
    });
}

} // namespace redwingseam::membership
