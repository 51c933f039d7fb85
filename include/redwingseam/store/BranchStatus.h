#pragma once

#include "redwingseam/base/Ids.h"

#include <string>

namespace redwingseam::store {

// Outcome of an edit: accepted, or rejected with the reason.
struct BranchStatus {
    std::string path;
    base::ObjectVersion editVersion;
    bool isAccepted = false;
    std::string reason;

    bool operator==(const BranchStatus&) const = default;
};

} // namespace redwingseam::store
