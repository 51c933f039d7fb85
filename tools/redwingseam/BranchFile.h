#pragma once

#include "redwingseam/settings/Branch.h"

#include <string>

namespace redwingseam::cli {

// A branch loaded from a file: the branch /clients/a is stored in clients/a/branch.json below the tree's
// folder.
struct BranchFile {
    std::string path;
    std::string file;
    std::string json;
    settings::Branch branch;
};

} // namespace redwingseam::cli
