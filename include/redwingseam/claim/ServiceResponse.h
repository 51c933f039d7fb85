#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::claim {

// The response of an upstream of kind Service: an HTTP status and a body.
struct ServiceResponse {
    uint16_t status = 0;
    std::string body;

    bool operator==(const ServiceResponse&) const = default;
};

} // namespace redwingseam::claim
