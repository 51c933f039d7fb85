#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/settings/Branch.h"

#include <optional>
#include <string>

namespace redwingseam::settings {

// What is to be written about an edit: the branch in force from now on, or the reason for rejecting it.
struct BranchDecision {
    std::string path;
    base::ObjectVersion rawVersion;
    // Version of the accepted branch that is replaced; 0 if there is none.
    base::ObjectVersion expected;
    std::optional<Branch> branch;
    std::string reason;
};

} // namespace redwingseam::settings
