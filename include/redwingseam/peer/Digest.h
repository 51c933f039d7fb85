#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <vector>

namespace redwingseam::peer {

// Hashes of the sender's fact buckets. The receiver replies with the facts of each bucket whose hash
// differs from its own (anti-entropy).
struct Digest {
    base::VmName from;
    // `ip:port` to reply to. Peers do not know the address of a VM that has just started.
    std::string replyAddress;
    std::vector<uint64_t> bucketHashes;
    // Whether the receiver should also reply with its own digest.
    bool wantsReplyDigest = false;
};

} // namespace redwingseam::peer
