#pragma once

#include "redwingseam/membership/Fact.h"

namespace redwingseam::membership {

// Facts with the key, incarnation and sequence that fit their body. An upstream's or VM's sequence is
// its state, so that leaving overrides live, and only a new incarnation overrides leaving.
Fact makeFact(const VmRecord&, uint64_t incarnation);
Fact makeFact(const route::UpstreamRecord&);
Fact makeFact(const CrashReport&);
Fact makeFact(const HeavyClients&, uint64_t incarnation, uint64_t sequence);
Fact makeFact(const settings::Branch&);

} // namespace redwingseam::membership
