#pragma once

#include "fleet/LoadMap.h"
#include "sync/UpstreamList.h"

#include <memory>
#include <unordered_set>

namespace redwingseam::peering {

// Which upstreams' booked work a data centre is told of. Few are told as a whole; of many only its own, since work goes
// elsewhere only when these fail, and the bytes grow with nodes times upstreams; and not of one that runs a single
// request whose prompt is read, which hardly tells it from an idle one. Not synchronised.
class LoadScope {
public:
    explicit LoadScope(base::DataCentreName dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {
    }

    fleet::LoadMap of(const fleet::LoadMap&, const std::shared_ptr<const sync::UpstreamList>&);

private:
    static bool isLight(const fleet::UpstreamLoad& load) { return load.requests <= 1 && load.pendingPrefillTokens == 0; }

    // Fits a few kilobytes a reply.
    static constexpr size_t mostToldWhole = 600;

    base::DataCentreName m_dataCentre;
    std::shared_ptr<const sync::UpstreamList> m_list;
    std::unordered_set<base::UpstreamName> m_inside;
};

} // namespace redwingseam::peering
