#pragma once

#include "gateway/GatewayState.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

#include <optional>

namespace redwingseam::gateway {

// Reports whether this node should receive client traffic: 200 if so, otherwise 503. Other paths return 404.
class ReadinessHandler {
public:
    // Required by http::BlockingServer; no response is streamed.
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
