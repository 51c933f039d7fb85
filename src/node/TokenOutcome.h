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
    // The slower one of an attempt and its hedge. It must be cancelled.
    std::optional<Attempt> cancelledAttempt;
    // Time since the previous tokens of this attempt, divided by the number of new tokens. Not set for the first
    // tokens of an attempt.
    std::optional<base::Duration> attemptTokenInterval;
    // Time from the request's arrival to its first token. Set for the first token only.
    std::optional<base::Duration> timeToFirstToken;
    // Time since the previous tokens were delivered to the caller.
    std::optional<base::Duration> timeSinceLastDelivery;
    // The request got further than a lost attempt did, which clears it of suspicion.
    bool isCleared = false;
    base::Fingerprint fingerprint;
    // The request has lost an attempt, so its times may include a resume.
    bool hasLostAttempt = false;
    bool hasMissingTokens = false;
    // The regenerated answer differs from the tokens that the caller received before it resumed.
    bool hasDiverged = false;
};

} // namespace redwingseam::node
