#pragma once

#include "fleet/RetryLimits.h"

#include <array>
#include <cstdint>

namespace redwingseam::fleet {

// Counts requests and retries of one service over a sliding window, and allows retries up to a share
// of the requests. Not synchronised.
class RetryBudget {
public:
    void countRequest(base::Instant now);
    // Whether one more retry is within the limits; books it if so.
    bool tryAcquireRetry(const RetryLimits&, base::Instant now);

private:
    static constexpr size_t slotCount = 16;

    struct Slot {
        int64_t period = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };

    Slot& slotAt(base::Instant now);

    // One second each; the window is a whole number of them.
    static constexpr base::Duration slotLength = std::chrono::seconds(1);
    std::array<Slot, slotCount> m_slots {};
};

} // namespace redwingseam::fleet
