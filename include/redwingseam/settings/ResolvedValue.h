#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::settings {

// Effective value of a field, and the path of the branch that sets it. The path is empty for the built-in
// default.
struct ResolvedValue {
    int64_t value = 0;
    std::string path;
};

} // namespace redwingseam::settings
