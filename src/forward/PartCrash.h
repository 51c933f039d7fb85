#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <vector>

namespace redwingseam::forward {

// The loss of an upstream's connection before any progress of the request that ran on it, with the prompt parts that may
// have caused it.
struct PartCrash {
    // The same on all nodes. Set by the PartRegister that records the crash.
    uint64_t id = 0;
    base::Fingerprint fingerprint;
    base::UpstreamName upstream;
    // In the order of the prompt.
    std::vector<base::PromptPartHash> parts;
    // When the attempt was sent and when its connection was lost.
    base::Instant sentAt {};
    base::Instant lostAt {};
    base::ClientHash account;
};

} // namespace redwingseam::forward
