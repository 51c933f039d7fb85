#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::daemon {

// Selects the upstreams that are due for a load probe: frequently within the data centre, less often in
// other data centres, as links to them are billed. Used by one thread.
class ProbeSchedule {
public:
    static constexpr base::Duration localInterval = std::chrono::milliseconds(500);
    static constexpr base::Duration remoteInterval = std::chrono::seconds(2);

    explicit ProbeSchedule(base::DataCentreName dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {
    }

    std::vector<route::UpstreamRecord> dueUpstreams(const std::vector<route::UpstreamRecord>& upstreams, base::Instant now);

private:
    base::DataCentreName m_dataCentre;
    std::unordered_map<base::UpstreamName, base::Instant> m_nextProbeAt;
};

} // namespace redwingseam::daemon
