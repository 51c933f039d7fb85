#pragma once

#include "redwingseam/base/Result.h"

#include <string>

namespace redwingseam::base {

// Returns the whole content of a file. Fails with SettingsUnreadable, whatever the file holds; the detail names the
// path.
Result<std::string> readFile(const std::string& path);

} // namespace redwingseam::base
