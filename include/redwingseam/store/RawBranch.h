#pragma once

#include <string>

namespace redwingseam::store {

// An operator's edit of a branch: the JSON as written, not validated yet.
struct RawBranch {
    std::string path;
    std::string json;

    bool operator==(const RawBranch&) const = default;
};

} // namespace redwingseam::store
