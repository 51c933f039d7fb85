#pragma once

#include "redwingseam/membership/CrashReport.h"
#include "redwingseam/membership/HeavyClients.h"
#include "redwingseam/membership/VmRecord.h"
#include "redwingseam/route/UpstreamRecord.h"
#include "redwingseam/settings/Branch.h"

#include <variant>

namespace redwingseam::membership {

// Content of a gossip entry: one alternative per GossipKind, in the same order.
using GossipBody = std::variant<VmRecord, route::UpstreamRecord, CrashReport, HeavyClients, settings::Branch>;

} // namespace redwingseam::membership
