#pragma once

#include "claim/ClaimPolicy.h"
#include "membership/GossipStore.h"
#include "stream/SequencerPolicy.h"

namespace redwingseam::node {

// Rules that the node's promises rest on. Tests replace one at a time to show that the properties
// notice it.
struct DefaultPolicies {
    using SequencerRules = stream::SequencerPolicy;
    using ClaimRules = claim::ClaimPolicy;
    using OverrideRules = membership::OverridePolicy;
};

} // namespace redwingseam::node
