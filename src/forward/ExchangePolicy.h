#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Time limits of an exchange that don't come from the manifest.
struct ExchangePolicy {
    // Share of a stream's gap objective after which its upstream is probed.
    double probeAfterGapShare = 0.3;
    // Time between probes while a stream has not begun; a prompt of the usual size is read in less. Each probe is a
    // new connection.
    base::Duration probeInterval = std::chrono::milliseconds(1700);
    // The same while other upstreams of its data centre fail.
    base::Duration outageProbeInterval = std::chrono::milliseconds(100);
    // Share of the latency objective after which an idempotent request is sent elsewhere.
    double attemptTimeoutObjectiveShare = 0.55;
    // Share of the latency objective for which a request waits for an upstream; holding it longer
    // leaves the client no time to come back.
    double maxWaitObjectiveShare = 0.12;
    // Multiple of the gap objective after which a silent stream is moved although its upstream
    // accepts connections.
    double abandonGapMultiple = 1.6;
    // Time that the client is told to stay away after a refusal.
    base::Duration retryAfter = std::chrono::milliseconds(300);
    // The same where another node can serve the client at once.
    base::Duration retryElsewhereAfter = std::chrono::milliseconds(30);
    // Sends of one request that reach an upstream, whether run or not. Bounds loops among upstreams that
    // all refuse.
    unsigned maxReachedAttempts = 8;
};

} // namespace redwingseam::forward
