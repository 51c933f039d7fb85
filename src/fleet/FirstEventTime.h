#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::fleet {

// How long streams of a service have lately taken from their sending to their first event, as seen by this node. Not
// synchronised.
class FirstEventTime {
public:
    void record(base::Duration, base::Instant now);
    // Returns the mean, in which later streams count more, or zero if none has begun for a while.
    base::Duration mean(base::Instant now) const;

private:
    // Longer than the pauses between the streams of a node that has few of them.
    static constexpr base::Duration memory = std::chrono::seconds(10);
    // Share of the latest stream in the mean.
    static constexpr double latestShare = 0.25;

    base::Duration m_mean {};
    base::Instant m_recordedAt {};
};

} // namespace redwingseam::fleet
