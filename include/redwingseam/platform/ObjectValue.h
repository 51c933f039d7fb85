#pragma once

#include "redwingseam/claim/Checkpoint.h"
#include "redwingseam/claim/ClaimBatch.h"
#include "redwingseam/membership/VmRecord.h"
#include "redwingseam/platform/AcceptedBranch.h"
#include "redwingseam/platform/BranchStatus.h"
#include "redwingseam/platform/Lease.h"
#include "redwingseam/platform/RawBranch.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <variant>

namespace redwingseam::platform {

// Value of an object in the platform's store.
using ObjectValue = std::variant<claim::ClaimBatch, claim::Checkpoint, RawBranch, AcceptedBranch, BranchStatus, Lease, membership::VmRecord, route::UpstreamRecord>;

} // namespace redwingseam::platform
