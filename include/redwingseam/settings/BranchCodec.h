#pragma once

#include "redwingseam/base/Result.h"
#include "redwingseam/settings/Branch.h"

#include <string>
#include <string_view>

namespace redwingseam::settings {

// Fills a branch from a JSON object that maps field names to values. Errors are SettingsUnreadable
// (not JSON) or SettingsInvalid; the detail names the JSON pointer and what was expected there.
base::Result<Branch> parseBranch(std::string path, base::ObjectVersion, std::string_view json);

// JSON object with the fields that the branch overrides, keys sorted.
std::string formatBranch(const Branch&);

// Whether `path` is `/` or a sequence of `/segment` with segments of [a-z0-9_-]. At most 200 bytes.
bool isBranchPath(std::string_view path);

} // namespace redwingseam::settings
