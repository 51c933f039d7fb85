#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::gateway {

// What a part of the memory is held for.
enum class BufferUse : uint8_t {
    // The headers of a request that are larger than usual, as received and as parsed.
    Head,
    // Requests that a client sends before it has got the last response.
    ReadAhead,
    // Responses that a client has not read.
    UnreadResponse,
    // The body of a request that has not been sent yet, and can be refused.
    Request,
    // A response that an upstream is sending. To drop it would lose what the upstream has done.
    Response,
};

inline constexpr size_t bufferUseCount = 5;

} // namespace redwingseam::gateway

template<>
struct redwingseam::base::EnumNames<redwingseam::gateway::BufferUse> {
    using BufferUse = redwingseam::gateway::BufferUse;
    static constexpr std::array entries {
        std::pair { BufferUse::Head, std::string_view { "head" } },
        std::pair { BufferUse::ReadAhead, std::string_view { "read-ahead" } },
        std::pair { BufferUse::UnreadResponse, std::string_view { "unread-response" } },
        std::pair { BufferUse::Request, std::string_view { "request" } },
        std::pair { BufferUse::Response, std::string_view { "response" } },
    };
};
