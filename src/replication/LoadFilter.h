#pragma once

#include "fleet/LoadMap.h"
#include "sync/UpstreamList.h"

#include <memory>
#include <unordered_set>

namespace redwingseam::replication {

// Which upstreams' booked work a data centre is told of. Few are told as a whole; of many only its own, since work goes
// elsewhere only when these fail, and the bytes grow with nodes times upstreams; and not of one that runs a single
// request whose prompt is read, which hardly tells it from an idle one. Not synchronised.
class LoadFilter {
public:
    explicit LoadFilter(base::DataCentreName dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {
    }

    fleet::LoadMap apply(const fleet::LoadMap&, const std::shared_ptr<const sync::UpstreamList>&);

private:
    static bool isNegligible(const fleet::UpstreamLoad& load) { return load.requests <= 1 && load.unreadTokens == 0; }

    // Fits a few kilobytes a reply.
    static constexpr size_t maxUnfilteredUpstreams = 600;

    base::DataCentreName m_dataCentre;
    std::shared_ptr<const sync::UpstreamList> m_list;
    std::unordered_set<base::UpstreamName> m_ownUpstreams;
};

} // namespace redwingseam::replication
