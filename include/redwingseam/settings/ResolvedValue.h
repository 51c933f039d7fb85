#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::settings {

// Effective value of a field and the branch that it comes from; an empty path stands for the built-in value.
struct ResolvedValue {
    int64_t value = 0;
    std::string path;
};

} // namespace redwingseam::settings
