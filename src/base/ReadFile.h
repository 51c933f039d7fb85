#pragma once

#include "redwingseam/base/Result.h"

#include <string>

namespace redwingseam::base {

// Whole content of a file. Error SettingsUnreadable names it.
Result<std::string> readFile(const std::string& path);

} // namespace redwingseam::base
