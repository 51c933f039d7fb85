#pragma once

#include "claim/ClaimPolicy.h"
#include "membership/GossipStore.h"
#include "stream/LedgerPolicy.h"

namespace redwingseam::node {

// Rules that the node's promises rest on. Tests replace one at a time to show that the properties
// notice it.
struct DefaultPolicies {
    using LedgerRules = stream::LedgerPolicy;
    using ClaimRules = claim::ClaimPolicy;
    using OverrideRules = membership::OverridePolicy;
};

} // namespace redwingseam::node
