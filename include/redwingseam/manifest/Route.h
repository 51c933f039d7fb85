#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/manifest/RouteKind.h"
#include "redwingseam/manifest/WeightedService.h"

#include <cstdint>
#include <string>
#include <vector>

namespace redwingseam::manifest {

// How requests to one host and path prefix are handled. A plain value.
struct Route {
    base::RouteName name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    // Longest time until the final answer.
    base::Duration timeout {};
    // Time within which an answer (a stream: its first event) is on time.
    base::Duration latencyObjective {};
    // Longest pause between two events of a stream that is on time.
    base::Duration gapObjective {};
    // 0 is the most urgent.
    uint32_t priority = 0;
    // Upstreams that may run one client attempt.
    uint32_t maxAttempts = 1;
    bool skipsAuthentication = false;
    // Whether a stream may go on at another upstream after the last event that arrived.
    bool isResumable = false;

    // Whether a request may be run more than once.
    bool isRepeatable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

} // namespace redwingseam::manifest
