#pragma once

#include "base/Hash.h"
#include "membership/FactStore.h"

namespace redwingseam::membership {

inline uint64_t bucketOf(const FactKey& key)
{
    return base::hashBytes(key.subject, static_cast<uint64_t>(key.kind));
}

inline uint64_t versionHash(const Fact& fact)
{
    return base::hashCombine(base::hashCombine(bucketOf(fact.key), fact.incarnation), fact.sequence);
}

template<typename Policy>
bool FactStore<Policy>::merge(const Fact& fact)
{
    return m_buckets.with(bucketOf(fact.key), [&](FactBucket& bucket) {
        auto [slot, isNew] = bucket.facts.try_emplace(fact.key, fact);
        if (!isNew) {
            if (!Policy::replaces(fact, slot->second))
                return false;
            bucket.hash ^= versionHash(slot->second);
            slot->second = fact;
        }
        bucket.hash ^= versionHash(fact);
        return true;
    });
}

template<typename Policy>
std::optional<Fact> FactStore<Policy>::find(const FactKey& key)
{
    return m_buckets.with(bucketOf(key), [&](FactBucket& bucket) -> std::optional<Fact> {
        auto found = bucket.facts.find(key);
        if (found == bucket.facts.end())
            return std::nullopt;
        return found->second;
    });
}

template<typename Policy>
std::vector<Fact> FactStore<Policy>::all(FactKind kind)
{
    std::vector<Fact> result;
    m_buckets.forEach([&](FactBucket& bucket) {
        for (auto item = bucket.facts.lower_bound({ kind, {} }); item != bucket.facts.end() && item->first.kind == kind; ++item)
            result.push_back(item->second);
    });
    return result;
}

template<typename Policy>
std::vector<Fact> FactStore<Policy>::bucket(size_t index)
{
    return m_buckets.with(index, [](FactBucket& bucket) {
        std::vector<Fact> facts;
        for (const auto& [key, fact] : bucket.facts)
            facts.push_back(fact);
        return facts;
    });
}

template<typename Policy>
BucketHashes FactStore<Policy>::hashes()
{
    BucketHashes result {};
    size_t index = 0;
    m_buckets.forEach([&](FactBucket& bucket) { result[index++] = bucket.hash; });
    return result;
}

template<typename Policy>
size_t FactStore<Policy>::size()
{
    size_t total = 0;
    m_buckets.forEach([&](FactBucket& bucket) { total += bucket.facts.size(); });
    return total;
}

template<typename Policy>
void FactStore<Policy>::forget(const FactKey& key)
{
    m_buckets.with(bucketOf(key), [&](FactBucket& bucket) {
        auto found = bucket.facts.find(key);
        if (found == bucket.facts.end())
            return;
        bucket.hash ^= versionHash(found->second);
        bucket.facts.erase(found);
    });
}

} // namespace redwingseam::membership
