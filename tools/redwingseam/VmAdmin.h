#pragma once

#include <optional>
#include <string>

namespace redwingseam::cli {

// Body of a VM's admin path; nothing if the VM can't be reached.
std::optional<std::string> fetchFromVm(const std::string& address, const std::string& path);

} // namespace redwingseam::cli
