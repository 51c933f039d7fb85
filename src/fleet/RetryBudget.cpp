#include "fleet/RetryBudget.h"

#include <algorithm>

namespace redwingseam::fleet {

RetryBudget::Bucket& RetryBudget::bucketAt(base::Instant now)
{
    auto period = now.time_since_epoch() / bucketLength;
    auto& bucket = m_buckets[static_cast<size_t>(period) % bucketCount];
    if (bucket.period != period)
        bucket = Bucket { period, 0, 0 };
    return bucket;
}

void RetryBudget::countRequest(base::Instant now)
{
    ++bucketAt(now).requests;
}

bool RetryBudget::tryAcquireRetry(const RetryLimits& limits, base::Instant now)
{
    auto period = now.time_since_epoch() / bucketLength;
    // Includes one slot more than the window, because the window may begin in the middle of a slot.
    auto length = std::min<int64_t>(limits.window / bucketLength + 1, bucketCount);
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (const auto& bucket : m_buckets) {
        if (bucket.period <= period - length || bucket.period > period)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    if (retries + 1 > limits.ratio * requests + limits.slack)
        return false;
    ++bucketAt(now).retries;
    return true;
}

} // namespace redwingseam::fleet
