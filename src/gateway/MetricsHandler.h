#pragma once

#include "gateway/GatewayState.h"
#include "gateway/ReadinessHandler.h"

namespace redwingseam::gateway {

// Serves the gateway's counters and histograms under `/metrics`.
class MetricsHandler {
public:
    using Stream = ReadinessHandler::Stream;
    using Response = http::ServerResponse<Stream>;

    explicit MetricsHandler(GatewayState& state)
        : m_state(state)
    {
    }

    Response handle(const http::ServerRequest& request)
    {
        if (request.path != "/metrics")
            return { 404, R"({"error":"unknown path"})" };
        return { 200, m_state.metrics.text(), "text/plain; version=0.0.4" };
    }

private:
    GatewayState& m_state;
};

} // namespace redwingseam::gateway
