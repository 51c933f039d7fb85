#pragma once

#include "redwingseam/settings/Branch.h"

#include <string>

namespace redwingseam::cli {

// A branch as it lies in a folder: `branch.json` in a folder named for the branch's path.
struct BranchFile {
    std::string path;
    std::string file;
    std::string json;
    settings::Branch branch;
};

} // namespace redwingseam::cli
