#include "daemon/StatusCodec.h"

#include <nlohmann/json.hpp>

namespace redwingseam::daemon {

std::string formatStatus(const node::NodeStatus& status)
{
    auto dataCentres = nlohmann::json::array();
    for (const auto& name : status.dataCentresSeen)
        dataCentres.push_back(name.text);
    auto degraded = nlohmann::json::array();
    if (!status.isPlatformReachable)
        degraded.push_back("platform");
    if (!status.upstreamsLive)
        degraded.push_back("upstreams");
    nlohmann::json document {
        { "vm", status.vm.text },
        { "data_centre", status.dataCentre.text },
        { "settings_version", status.settingsVersion.value },
        { "branches", status.branches },
        { "requests", status.requests },
        { "queued", status.queued },
        { "upstreams_live", status.upstreamsLive },
        { "upstreams_down", status.upstreamsDown },
        { "vms_live", status.vmsLive },
        { "claims_pending", status.claimsPending },
        { "facts", status.gossipEntries },
        { "draining", status.isDraining },
        { "degraded", std::move(degraded) },
        { "other_data_centres", std::move(dataCentres) },
    };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace redwingseam::daemon
