#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Timeouts and limits of an exchange that are not part of the manifest. A share is a fraction from 0 to 1.
struct ExchangePolicy {
    // Share of a stream's gap objective after which its silent upstream is probed.
    double probeAfterGapShare = 0.3;
    // Interval between probes before the first event of a stream. The prefill of a prompt of the usual size takes
    // less time. Each probe opens a new connection.
    base::Duration probeInterval = std::chrono::milliseconds(1700);
    // Delay before the one additional probe that is sent while an outage of the data centre is suspected.
    base::Duration outageProbeDelay = std::chrono::milliseconds(100);
    // Share of the latency objective after which an idempotent request is retried on another upstream.
    double attemptTimeoutShare = 0.55;
    // Share of the latency objective for which a request waits for a usable upstream. A longer wait leaves the client
    // no time for a retry.
    double maxWaitObjectiveShare = 0.12;
    // Interval at which a stream that has begun looks for an upstream after that. It waits for those that could not be
    // reached until its deadline, because its client can get only the rest of it.
    base::Duration placementInterval = std::chrono::milliseconds(200);
    // How long a stream that has begun leaves an upstream alone that had no room for it, and the pause between its attempts after
    // `maxReachedAttempts`. It waits for room until its deadline.
    base::Duration refusalPause = std::chrono::milliseconds(600);
    // Share of a stream's latency objective that is reserved for its prefill, and for that of a prompt before it at the
    // engine, when requests are queued.
    double firstEventReserveShare = 0.55;
    // Share of a stream's latency objective in which an engine is assumed to read a prompt, and the multiple of its equal
    // share of the engines that a node with queued streams uses at most. Other nodes may need less than theirs.
    double prefillObjectiveShare = 0.25;
    double queuedShareOfEngines = 2;
    // Limits of the time for which a stream waits for room at an engine: a multiple of its latency objective, after which
    // most clients have given up, and a share of the client's timeout, after which it could not be completed.
    double maxQueueObjectives = 3;
    double maxQueueTimeoutShare = 0.7;
    // Multiple of the gap objective after which a silent stream is retried on another upstream even though its current
    // upstream accepts connections.
    double abandonGapMultiple = 1.6;
    // Whether a stream whose reachable upstream has stalled stays there for as long as its prompt would take to be read elsewhere,
    // as far as that is known, and up to this multiple of the gap objective.
    bool weighsMoves = false;
    double maxAbandonGapMultiple = 4;
    // How long the silent attempt of a stream is kept once the request was written to another upstream. Covers the refusal of
    // that one, and is short because both may run the request.
    base::Duration keepBesideReplacement = std::chrono::milliseconds(200);
    // Delay that a refused client is asked to wait before a retry.
    base::Duration retryAfter = std::chrono::milliseconds(300);
    // The same delay while this node drains, because another node can serve the client immediately.
    base::Duration retryElsewhereAfter = std::chrono::milliseconds(30);
    // The longest delay that a client is asked to wait, for the next trial of a quarantined prompt part.
    base::Duration maxRetryAfter = std::chrono::seconds(60);
    // Whether requests to plain services are turned away at once while most of their upstreams are full, and how much more often
    // than they accept requests they are asked then.
    bool boundsCrowding = false;
    double crowdedAskRatio = 1.15;
    // Maximum number of attempts of one request that reach an upstream, whether they run or not. Prevents endless
    // loops among upstreams that all reject the request. A stream that has begun makes further ones with pauses.
    unsigned maxReachedAttempts = 8;
};

} // namespace redwingseam::forward
