#pragma once

#include <string>

namespace redwingseam::store {

// An operator's edit of a branch: the JSON as written, not validated yet.
struct BranchEdit {
    std::string path;
    std::string json;

    bool operator==(const BranchEdit&) const = default;
};

} // namespace redwingseam::store
