#pragma once

#include "http/BlockingServer.h"

#include <optional>
#include <string>

namespace redwingseam::bench {

// Responds with a body of 800 bytes, like the plain services.
struct FixedBodyHandler {
    struct Stream {
        std::optional<std::string> next() { return std::nullopt; }
    };

    http::ServerResponse<Stream> handle(const http::ServerRequest&) { return { 200, std::string(800, 'x') }; }
};

} // namespace redwingseam::bench
