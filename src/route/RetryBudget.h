#pragma once

#include <cstdint>

namespace redwingseam::route {

// Bounds retries to a share of first attempts. First attempts earn credit, retries spend it.
class RetryBudget {
public:
    void earn(int64_t permille);
    // Whether a retry is within the budget; books it if so.
    bool spend();

private:
    static constexpr int64_t retryCost = 1000;
    // Lets a quiet node retry a few times, and bounds a burst after a long quiet spell.
    static constexpr int64_t highestCredit = 100 * retryCost;

    int64_t m_credit = 10 * retryCost;
};

} // namespace redwingseam::route
