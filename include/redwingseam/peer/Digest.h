#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <vector>

namespace redwingseam::peer {

// Hashes of the buckets of the sender's gossip store. The receiver replies with the gossip entries of each
// bucket whose hash differs from its own (anti-entropy).
struct Digest {
    base::VmName from;
    // `ip:port` to reply to. Peers do not know the address of a VM that has just started.
    std::string replyAddress;
    // One hash per bucket, by bucket index.
    std::vector<uint64_t> bucketHashes;
    // Whether the receiver should also reply with its own digest.
    bool wantsReplyDigest = false;
};

} // namespace redwingseam::peer
