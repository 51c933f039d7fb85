#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::gateway {

// What a buffered body is for.
enum class BufferUse : uint8_t {
    // A request that has not been sent yet, and can be refused.
    Request,
    // A response that an upstream is sending. To drop it would lose what the upstream has done.
    Response,
};

} // namespace redwingseam::gateway

template<>
struct redwingseam::base::EnumNames<redwingseam::gateway::BufferUse> {
    using BufferUse = redwingseam::gateway::BufferUse;
    static constexpr std::array entries {
        std::pair { BufferUse::Request, std::string_view { "request" } },
        std::pair { BufferUse::Response, std::string_view { "response" } },
    };
};
