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

// A settings tree kept as files. `errors` has one entry per file that can't be used.
struct TreeFiles {
    std::vector<BranchFile> branches;
    std::vector<base::Error> errors;

    settings::Tree tree() const;
    const BranchFile* find(const std::string& path) const;
};

TreeFiles loadTree(const std::string& folder);

// Writes one branch's file, making folders as needed.
bool writeBranchFile(const std::string& folder, const std::string& path, const std::string& json);

} // namespace redwingseam::cli
