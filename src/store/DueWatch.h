#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::store {

// A list (revision 0) or watch request that is due.
struct DueWatch {
    std::string prefix;
    uint64_t revision = 0;
};

} // namespace redwingseam::store
