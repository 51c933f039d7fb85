#pragma once

#include "node/Attempt.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/SendTokens.h"
#include "redwingseam/settings/Policy.h"

#include <optional>

namespace redwingseam::node {

// What follows from some tokens, to be carried out when the request's lock has been let go.
struct TokenOutcome {
    base::PoolName pool;
    base::UpstreamName upstream;
    settings::Policy policy;
    std::optional<SendTokens> toSend;
    // Attempt that lost the race and is to be cancelled.
    std::optional<Attempt> loser;
    // Mean time between tokens at the upstream.
    std::optional<base::Duration> gap;
    // Time from the request's arrival, for its first token only.
    std::optional<base::Duration> timeToFirstToken;
    // Time since the caller was last sent something.
    std::optional<base::Duration> callerGap;
    // The attempt got further than the one before, which clears it of suspicion.
    bool isCleared = false;
    base::Fingerprint fingerprint;
    bool hasLoss = false;
    bool hasMissingTokens = false;
    // The answer differs from what the caller was given before it came back.
    bool hasDiverged = false;
};

} // namespace redwingseam::node
