#pragma once

#include "fleet/RetryLimits.h"

#include <array>
#include <cstdint>

namespace redwingseam::fleet {

// Limits the retries to one service to a share of its requests over a sliding window. Not synchronised.
class RetryBudget {
public:
    void countRequest(base::Instant now);
    // Returns whether one more retry is within the limits, and counts it if so.
    bool tryAcquireRetry(const RetryLimits&, base::Instant now);

private:
    static constexpr size_t bucketCount = 16;

    struct Bucket {
        int64_t period = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };

    Bucket& bucketAt(base::Instant now);

    // Resolution of the window. The current, incomplete bucket is counted in addition to those of the window.
    static constexpr base::Duration bucketLength = std::chrono::seconds(1);
    std::array<Bucket, bucketCount> m_buckets {};
};

} // namespace redwingseam::fleet
