#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <vector>

namespace redwingseam::peer {

// Hashes of the sender's fact buckets. The receiver answers with the facts of those that differ.
struct Digest {
    base::VmName from;
    // Where the answer goes; a VM that starts is not known to its peers yet.
    std::string replyAddress;
    std::vector<uint64_t> buckets;
    // Whether the receiver should also send its own digest back.
    bool wantsDigest = false;
};

} // namespace redwingseam::peer
