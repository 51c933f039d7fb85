#pragma once

#include "redwingseam/membership/GossipEntry.h"

namespace redwingseam::membership {

// Make gossip entries with the key, incarnation and sequence that belong to their body. The sequence of
// an upstream or VM is its state, so Leaving overrides Live, and only a new incarnation returns to Live.
GossipEntry makeGossipEntry(const VmRecord&, uint64_t incarnation);
GossipEntry makeGossipEntry(const route::UpstreamRecord&);
GossipEntry makeGossipEntry(const CrashReport&);
GossipEntry makeGossipEntry(const HeavyClients&, uint64_t incarnation, uint64_t sequence);
GossipEntry makeGossipEntry(const settings::Branch&);

} // namespace redwingseam::membership
