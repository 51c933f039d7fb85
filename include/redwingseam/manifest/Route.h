#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/manifest/RouteKind.h"
#include "redwingseam/manifest/WeightedService.h"

#include <cstdint>
#include <string>
#include <vector>

namespace redwingseam::manifest {

// Policy for the requests to one host and path prefix. A duration of zero has no special meaning and does not disable
// the limit. A plain value.
struct Route {
    base::RouteName name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    // Maximum time from the arrival of a request to the end of its response.
    base::Duration timeout {};
    // Latency target for the response, or for the first event of a stream.
    base::Duration latencyObjective {};
    // Target for the longest gap between two events of a stream.
    base::Duration gapObjective {};
    // 0 is the most urgent.
    uint32_t priority = 0;
    // Maximum number of attempts in which an upstream may have run the request, including the first. Attempts that
    // certainly did not run it do not count.
    uint32_t maxAttempts = 1;
    bool skipsAuthentication = false;
    // Whether a stream may resume on another upstream after the last event that arrived.
    bool isResumable = false;

    // Returns whether a request may be run more than once.
    bool isRepeatable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

} // namespace redwingseam::manifest
