#include "gateway/ReadinessHandler.h"

namespace redwingseam::gateway {

ReadinessHandler::Response ReadinessHandler::handle(const http::ServerRequest& request)
{
    if (request.path != m_path)
        return { 404, R"({"error":"unknown path"})" };
    bool hasUpstreamList = m_state.fleet.listedAt() != base::Instant {};
    bool acceptsKeys = m_state.admission.acceptsKeys(m_state.manifest.state(), base::BootClock {}.now());
    bool isReady = !m_state.isDraining() && hasUpstreamList && acceptsKeys;
    return { isReady ? 200U : 503U, isReady ? R"({"ready":true})" : R"({"ready":false})" };
}

} // namespace redwingseam::gateway
