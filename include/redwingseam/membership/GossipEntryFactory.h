#pragma once

#include "redwingseam/membership/GossipEntry.h"

namespace redwingseam::membership {

// Facts with the key, incarnation and sequence that fit their body. An upstream's or VM's sequence is
// its state, so that leaving overrides live, and only a new incarnation overrides leaving.
GossipEntry makeGossipEntry(const VmRecord&, uint64_t incarnation);
GossipEntry makeGossipEntry(const route::UpstreamRecord&);
GossipEntry makeGossipEntry(const VerdictRecord&);
GossipEntry makeGossipEntry(const HeavyClients&, uint64_t incarnation, uint64_t sequence);
GossipEntry makeGossipEntry(const settings::Branch&);

} // namespace redwingseam::membership
