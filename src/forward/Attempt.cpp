#include "forward/Attempt.h"

#include <algorithm>

namespace redwingseam::forward {

void Attempt::recordActivity(base::Instant now)
{
    isUnreachable = false;
    lastActivity = now;
}

void Attempt::discountPause(base::Duration pause, base::Instant now)
{
    for (auto* instant : { &sentAt, &lastActivity, &lastProgress, &lastProbe }) {
        if (*instant != base::Instant {})
            *instant = std::min(*instant + pause, now);
    }
}

std::optional<std::string> Attempt::backupAddress() const
{
    // A backup exists only after the run has produced an event.
    if (!hasEvent || isBackupMissing || !placement->backup)
        return std::nullopt;
    return placement->backup->address;
}

} // namespace redwingseam::forward
