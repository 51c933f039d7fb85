#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/settings/Branch.h"

#include <optional>
#include <string>

namespace redwingseam::settings {

// Decision on an edit, to be written to the store: the branch that takes effect, or the reason for
// rejecting the edit.
struct BranchDecision {
    std::string path;
    base::ObjectVersion editVersion;
    // Version of the accepted branch to replace; 0 if there is none.
    base::ObjectVersion expectedVersion;
    std::optional<Branch> branch;
    std::string reason;
};

} // namespace redwingseam::settings
