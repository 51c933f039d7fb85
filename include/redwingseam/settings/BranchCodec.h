#pragma once

#include "redwingseam/base/Result.h"
#include "redwingseam/settings/Branch.h"

#include <string>
#include <string_view>

namespace redwingseam::settings {

// Parses a branch from a JSON object that maps field names to values. Returns the error
// SettingsUnreadable if `json` is not JSON, or SettingsInvalid with a detail that names the JSON pointer
// and the value expected and found there.
base::Result<Branch> parseBranch(std::string path, base::ObjectVersion, std::string_view json);

// Returns a JSON object with the fields that the branch overrides, sorted by key.
std::string formatBranch(const Branch&);

// Returns whether `path` is `/`, or a sequence of `/segment` of at most 200 bytes whose segments consist
// of [a-z0-9_-].
bool isBranchPath(std::string_view path);

} // namespace redwingseam::settings
