#pragma once

#include "fleet/Placement.h"
#include "forward/AttemptOutcome.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// What an Exchange knows of one attempt at an upstream.
struct Attempt {
    // Nothing once the attempt has ended.
    std::optional<fleet::Placement> placement;
    base::Instant sentAt {};
    // When the request was written: at once on a kept connection, otherwise when the connection was established.
    base::Instant writtenAt {};
    base::Instant lastActivity {};
    // When the last event arrived, or when the first event began; zero before that.
    base::Instant lastProgress {};
    base::Instant lastProbe {};
    bool isConnecting = false;
    // Whether the stream goes on from a copy of its run's memory.
    bool isFromCopy = false;
    // Whether the attempt is the first at its upstream.
    bool isFirstContact = false;
    bool isProbing = false;
    // Whether the last probe failed and nothing was received since.
    bool isUnreachable = false;
    // Whether its upstream was suspected when another attempt was started beside this one.
    bool isSuspectedAsLate = false;
    // Whether the last probe was sent while an outage of the data centre was suspected.
    bool isProbedDuringOutage = false;
    // Whether the attempt has delivered an event.
    bool hasEvent = false;
    // Whether another upstream has said that it has no backup of this run.
    bool isBackupMissing = false;

    // Records bytes of the response, or that the connection was established.
    void recordActivity(base::Instant now);
    // Excludes a time in which this process did not run, so that it does not count as silence.
    void discountPause(base::Duration, base::Instant now);
    // Returns the outcome if the attempt is abandoned for silence.
    AttemptOutcome silentOutcome() const { return isConnecting ? AttemptOutcome::NotConnected : AttemptOutcome::Silent; }
    // Returns the address of the upstream with a backup of the attempt's run.
    std::optional<std::string> backupAddress() const;
};

} // namespace redwingseam::forward
