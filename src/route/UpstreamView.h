#pragma once

#include "redwingseam/route/UpstreamRecord.h"
#include "route/ConcurrencyLimit.h"
#include "route/InFlightRequest.h"

#include <vector>

namespace redwingseam::route {

// What this node knows of one upstream: its record, the last load report corrected by the requests that this
// node has sent since, and its own requests in flight.
struct UpstreamView {
    UpstreamRecord record;
    ConcurrencyLimit limit;
    // 0 for an upstream in this data centre, 1 for one in another; links to another are slower and billed.
    uint32_t linkTier = 0;
    // Set when a connection broke or a probe failed, independently of record.state; cleared by the next load
    // report.
    bool isDown = false;
    uint32_t reportedLoad = 0;
    uint32_t ownRequestsAtReport = 0;
    // Mean time between tokens from this upstream as seen by this node, in microseconds; 0 if unknown.
    int64_t tokenGap = 0;
    std::vector<InFlightRequest> inFlight;

    uint32_t ownRequests() const { return static_cast<uint32_t>(inFlight.size()); }
    bool takesWork() const { return record.state == UpstreamState::Live && !isDown; }
    uint32_t ownRequestsOfRank(base::Rank) const;
    // Returns whether this node may send another request of the rank. Only urgent work uses the reserve.
    bool hasFreeSlot(base::Rank) const;
    // Returns the number of requests at the upstream according to the last report, corrected by those that
    // this node has sent and ended since.
    uint32_t estimatedLoad() const;
};

} // namespace redwingseam::route
