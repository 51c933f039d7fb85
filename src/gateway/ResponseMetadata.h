#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::gateway {

// What the head of an upstream's answer says.
struct ResponseMetadata {
    unsigned status = 0;
    // Empty if the upstream did not echo it.
    base::ClientAttemptId attempt;
    // The upstream's word that it did not run the request.
    bool isNotExecuted = false;
    // Another instance has the address.
    bool isMisdirected = false;
    // Bears the upstream's signature, without which a success does not count.
    bool isSigned = false;
    // How long the upstream keeps an idle connection; nothing if it did not say.
    std::optional<base::Duration> keepAlive;
};

} // namespace redwingseam::gateway
