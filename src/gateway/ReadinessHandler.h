#pragma once

#include "gateway/GatewayState.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

#include <optional>

namespace redwingseam::gateway {

// Answers whether this node should be given clients: 200 or 503. Other paths get 404.
class ReadinessHandler {
public:
    // No body is streamed.
    struct Stream {
        std::optional<std::string> next() { return std::nullopt; }
    };
    using Response = http::ServerResponse<Stream>;

    ReadinessHandler(GatewayState& state, std::string path)
        : m_state(state)
        , m_path(std::move(path))
    {
    }

    Response handle(const http::ServerRequest&);

private:
    GatewayState& m_state;
    std::string m_path;
};

} // namespace redwingseam::gateway
