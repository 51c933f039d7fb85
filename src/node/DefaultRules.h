#pragma once

#include "claim/ClaimPolicy.h"
#include "membership/GossipStore.h"
#include "stream/SequencerPolicy.h"

namespace redwingseam::node {

// Rules that the node's guarantees depend on. Tests replace them by faulty ones, one at a time, to show that the
// property tests detect the violation.
struct DefaultRules {
    using SequencerRules = stream::SequencerPolicy;
    using ClaimRules = claim::ClaimPolicy;
    using OverrideRules = membership::DefaultOverrideRules;
};

} // namespace redwingseam::node
