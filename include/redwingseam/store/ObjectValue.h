#pragma once

#include "redwingseam/claim/Checkpoint.h"
#include "redwingseam/claim/ClaimBatch.h"
#include "redwingseam/membership/VmRecord.h"
#include "redwingseam/route/UpstreamRecord.h"
#include "redwingseam/store/AcceptedBranch.h"
#include "redwingseam/store/BranchEdit.h"
#include "redwingseam/store/BranchStatus.h"
#include "redwingseam/store/Lease.h"

#include <variant>

namespace redwingseam::store {

// Value of an object in the platform's store.
using ObjectValue = std::variant<claim::ClaimBatch, claim::Checkpoint, BranchEdit, AcceptedBranch, BranchStatus, Lease, membership::VmRecord, route::UpstreamRecord>;

} // namespace redwingseam::store
