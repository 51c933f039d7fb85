#pragma once

#include "gateway/GatewayState.h"
#include "gateway/ReadinessHandler.h"

namespace redwingseam::gateway {

// Serves the admin port: `/metrics` in the Prometheus text format, `/status` and `/report` as JSON.
class AdminHandler {
public:
    using Stream = ReadinessHandler::Stream;
    using Response = http::ServerResponse<Stream>;

    explicit AdminHandler(GatewayState& state)
        : m_state(state)
    {
    }

    Response handle(const http::ServerRequest&);

private:
    std::string quarantineMetric() const;
    std::string bufferMetrics() const;
    std::string status() const;

    GatewayState& m_state;
};

} // namespace redwingseam::gateway
