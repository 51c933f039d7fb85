#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::fakes {

// Clock that advances only by moveTo().
class FakeClock {
public:
    base::Instant now() const { return m_now; }
    void moveTo(base::Instant instant) { m_now = std::max(m_now, instant); }

private:
    // Starts above zero, because some timers interpret zero as "never".
    base::Instant m_now { std::chrono::seconds(1000) };
};

} // namespace redwingseam::fakes
