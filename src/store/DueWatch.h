#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::store {

// A list or watch that is to be asked for.
struct DueWatch {
    std::string prefix;
    uint64_t revision = 0;
};

} // namespace redwingseam::store
