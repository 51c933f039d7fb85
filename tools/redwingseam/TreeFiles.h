#pragma once

#include "BranchFile.h"
#include "redwingseam/base/Error.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/settings/Branch.h"
#include "redwingseam/settings/Tree.h"

#include <map>
#include <string>
#include <vector>

namespace redwingseam::cli {

// A settings tree loaded from files. `errors` has one entry for each file that cannot be used.
struct TreeFiles {
    std::vector<BranchFile> branches;
    std::vector<base::Error> errors;

    settings::Tree tree() const;
    // Returns the file of the branch at `path`, or null if there is none.
    const BranchFile* find(const std::string& path) const;
};

// Loads every `branch.json` below `folder`, sorted by branch path.
TreeFiles loadTree(const std::string& folder);

// Writes the file of one branch and creates missing folders. Returns whether the file was written.
bool writeBranchFile(const std::string& folder, const std::string& path, const std::string& json);

} // namespace redwingseam::cli
