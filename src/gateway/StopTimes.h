#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::gateway {

// Times of a graceful stop.
struct StopTimes {
    // Time from the start of the stop until the process is killed.
    base::Duration grace {};
    // Time for which connections are accepted at least: the load balancer removes a node after two failed health checks,
    // which are one second apart.
    base::Duration minimum = std::chrono::milliseconds(2800);
    // Part of the grace that is left for the exit itself.
    base::Duration exitReserve = std::chrono::milliseconds(300);
    // Part of the grace in which the requests that are still running are answered by the gateway itself.
    base::Duration answerReserve = std::chrono::milliseconds(150);

    // Returns when the requests that are still running are abandoned, counted from the start of the stop.
    base::Duration abandonAt() const { return grace - exitReserve - answerReserve; }
};

} // namespace redwingseam::gateway
