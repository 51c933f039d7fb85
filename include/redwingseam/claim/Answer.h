#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::claim {

// The answer of a plain service: an HTTP status and a body.
struct Answer {
    uint16_t status = 0;
    std::string body;

    bool operator==(const Answer&) const = default;
};

} // namespace redwingseam::claim
