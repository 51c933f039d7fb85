#pragma once

#include "membership/BucketHashes.h"
#include "membership/GossipBucket.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/membership/GossipEntry.h"

#include <optional>
#include <vector>

namespace redwingseam::membership {

// Decides which of two entries for one key wins. Tests replace it by faulty rules to show that the property
// tests detect the violation.
struct DefaultOverrideRules {
    static bool replaces(const GossipEntry& candidate, const GossipEntry& held) { return overrides(candidate, held); }
};

// Gossip entries of a node, in buckets whose hashes can be compared with another node's for
// anti-entropy. Thread-safe.
template<typename Rules = DefaultOverrideRules>
class GossipStore {
public:
    // Stores the entry if there is none for its key or if it overrides that one. Returns whether it was stored.
    bool merge(const GossipEntry&);
    std::optional<GossipEntry> find(const GossipKey&);
    std::vector<GossipEntry> all(GossipKind);
    std::vector<GossipEntry> bucket(size_t index);
    BucketHashes hashes();
    size_t size();

    // Removes an entry without a tombstone, so a peer that still holds it would bring it back. Use only for
    // kinds that expire on every node.
    void erase(const GossipKey&);

private:
    base::Sharded<GossipBucket, bucketCount> m_buckets;
};

extern template class GossipStore<DefaultOverrideRules>;

} // namespace redwingseam::membership
