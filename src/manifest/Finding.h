#pragma once

#include "manifest/FindingKind.h"

#include <string>
#include <vector>

namespace redwingseam::manifest {

// One result of a check or of a comparison of manifests.
struct Finding {
    FindingKind kind = FindingKind::Error;
    // The entry, such as `route "read"`.
    std::string entry;
    std::string text;
};

using Findings = std::vector<Finding>;

} // namespace redwingseam::manifest
