#pragma once

#include "node/Attempt.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/SendTokens.h"
#include "redwingseam/settings/RequestSettings.h"

#include <optional>

namespace redwingseam::node {

// Actions that follow from received tokens. They are carried out after the request's lock has been
// released.
struct TokenOutcome {
    base::PoolName pool;
    base::UpstreamName upstream;
    settings::RequestSettings requestSettings;
    std::optional<SendTokens> toSend;
    // Attempt that lost the race between an attempt and its hedge. It must be cancelled.
    std::optional<Attempt> loser;
    // Mean time between tokens at the upstream.
    std::optional<base::Duration> gap;
    // Time from the request's arrival to its first token. Set for the first token only.
    std::optional<base::Duration> timeToFirstToken;
    // Time since the caller last received a token.
    std::optional<base::Duration> callerGap;
    // The attempt got further than the lost one before it, which clears the request of suspicion.
    bool isCleared = false;
    base::Fingerprint fingerprint;
    bool hasLoss = false;
    bool hasMissingTokens = false;
    // The regenerated answer differs from the tokens that the caller received before it resumed.
    bool hasDiverged = false;
};

} // namespace redwingseam::node
