#pragma once

#include "forward/SilenceReason.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// What was known of a silent attempt when another one was started in its place.
struct SilentAttempt {
    SilenceReason reason = SilenceReason::Unreachable;
    // Whether the attempt is kept until it is known whether the other one goes on.
    bool isKept = false;
    // Since the last bytes of the response, or since the request was sent.
    base::Duration silence {};
    // Since the last event; nullopt if there was none.
    std::optional<base::Duration> sinceEvent;
    // Since the upstream last accepted a connection or sent bytes, also for other requests.
    std::optional<base::Duration> sinceContact;
    // Since any upstream of the service did. A long time points to this node's own link.
    std::optional<base::Duration> sinceAnyContact;
    // In which streams of the service have begun lately; zero if not known.
    base::Duration expectedFirstEvent {};
};

} // namespace redwingseam::forward
