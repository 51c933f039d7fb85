#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/report/BurnRateCell.h"

#include <array>
#include <cstdint>

namespace redwingseam::report {

// Ring buffer of the counts of one objective per minute, as long as the longest window. Not synchronised.
class MinuteRing {
public:
    static constexpr int64_t retainedMinutes = 360;

    void addMet(int64_t minute);
    void addMissed(int64_t minute, MissCause);
    // Returns the sum over the last `minutes` minutes up to and including `minute`.
    BurnRateCell sum(int64_t minute, int64_t minutes) const;

private:
    struct Slot {
        int64_t minute = -1;
        uint32_t met = 0;
        std::array<uint32_t, missCauseCount> missed {};
    };

    Slot& slot(int64_t minute);

    std::array<Slot, retainedMinutes> m_slots;
};

} // namespace redwingseam::report
