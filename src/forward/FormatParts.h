#pragma once

#include "redwingseam/base/Ids.h"

#include <span>
#include <string>

namespace redwingseam::forward {

// Returns the hashes of prompt parts for a log line: hexadecimal and separated by commas.
std::string formatParts(std::span<const base::PromptPartHash>);

} // namespace redwingseam::forward
