#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::fakes {

// Clock that stands still until it is moved.
class FakeClock {
public:
    base::Instant now() const { return m_now; }
    void moveTo(base::Instant instant) { m_now = std::max(m_now, instant); }

private:
    // Not zero, which some timers take for "never".
    base::Instant m_now { std::chrono::seconds(1000) };
};

} // namespace redwingseam::fakes
