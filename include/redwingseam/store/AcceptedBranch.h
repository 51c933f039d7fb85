#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/settings/Branch.h"

namespace redwingseam::store {

// A validated branch, and the version of the edit that it was made from.
struct AcceptedBranch {
    settings::Branch branch;
    base::ObjectVersion editVersion;

    bool operator==(const AcceptedBranch&) const = default;
};

} // namespace redwingseam::store
