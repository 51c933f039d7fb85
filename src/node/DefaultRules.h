#pragma once

#include "claim/DefaultClaimRules.h"
#include "membership/GossipStore.h"
#include "stream/DefaultSequencerRules.h"

namespace redwingseam::node {

// Rules that the node's guarantees depend on. Tests replace them by faulty ones, one at a time, to show that the
// property tests detect the violation.
struct DefaultRules {
    using SequencerRules = stream::DefaultSequencerRules;
    using ClaimRules = claim::DefaultClaimRules;
    using OverrideRules = membership::DefaultOverrideRules;
};

} // namespace redwingseam::node
