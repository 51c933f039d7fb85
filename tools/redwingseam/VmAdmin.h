#pragma once

#include <optional>
#include <string>

namespace redwingseam::cli {

// Returns the body of a GET request to a path of a VM's admin address, or nothing if the VM does not
// answer with status 200 within 3 seconds.
std::optional<std::string> fetchFromVm(const std::string& address, const std::string& path);

} // namespace redwingseam::cli
