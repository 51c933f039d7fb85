#pragma once

#include "membership/BucketHashes.h"
#include "membership/FactBucket.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/membership/Fact.h"

#include <optional>
#include <vector>

namespace redwingseam::membership {

// Decides which of two facts holds. Tests replace it to show that their properties can fail.
struct OverridePolicy {
    static bool replaces(const Fact& candidate, const Fact& held) { return overrides(candidate, held); }
};

// The facts that a node holds, in buckets that can be compared with another node's. Thread-safe.
template<typename Policy = OverridePolicy>
class FactStore {
public:
    // Takes the fact in if it overrides the one held. Returns whether it did.
    bool merge(const Fact&);
    std::optional<Fact> find(const FactKey&);
    std::vector<Fact> all(FactKind);
    std::vector<Fact> bucket(size_t index);
    BucketHashes hashes();
    size_t size();

    // Forgets a fact without a trace; only for kinds that expire everywhere.
    void forget(const FactKey&);

private:
    base::Sharded<FactBucket, bucketCount> m_buckets;
};

extern template class FactStore<OverridePolicy>;

} // namespace redwingseam::membership
