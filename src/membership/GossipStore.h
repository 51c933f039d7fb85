#pragma once

#include "membership/BucketHashes.h"
#include "membership/GossipBucket.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/membership/GossipEntry.h"

#include <optional>
#include <vector>

namespace redwingseam::membership {

// Decides which of two facts holds. Tests replace it to show that their properties can fail.
struct OverridePolicy {
    static bool replaces(const GossipEntry& candidate, const GossipEntry& held) { return overrides(candidate, held); }
};

// The facts that a node holds, in buckets that can be compared with another node's. Thread-safe.
template<typename Policy = OverridePolicy>
class GossipStore {
public:
    // Takes the fact in if it overrides the one held. Returns whether it did.
    bool merge(const GossipEntry&);
    std::optional<GossipEntry> find(const GossipKey&);
    std::vector<GossipEntry> all(GossipKind);
    std::vector<GossipEntry> bucket(size_t index);
    BucketHashes hashes();
    size_t size();

    // Forgets a fact without a trace; only for kinds that expire everywhere.
    void erase(const GossipKey&);

private:
    base::Sharded<GossipBucket, bucketCount> m_buckets;
};

extern template class GossipStore<OverridePolicy>;

} // namespace redwingseam::membership
