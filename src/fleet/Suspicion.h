#pragma once

#include "fleet/SuspicionCause.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fleet {

// Bounds how long an upstream that failed is passed over; repeated failures make it longer.
class Suspicion {
public:
    void add(SuspicionCause, base::Instant now);
    void clear();
    bool isActive(base::Instant now) const { return now < m_until; }
    bool isReplaced() const { return m_isReplaced; }

private:
    // About the time in which a restarted process listens again.
    static constexpr base::Duration initialBackoff = std::chrono::milliseconds(600);
    // Bounds how long a recovered upstream stays unused.
    static constexpr base::Duration maxBackoff = std::chrono::milliseconds(3000);
    // An upstream that is full has room again after about one short request.
    static constexpr base::Duration overloadBackoff = std::chrono::milliseconds(100);
    // A damaged answer says little of the next one.
    static constexpr base::Duration malformedAnswerBackoff = std::chrono::milliseconds(50);

    base::Instant m_until {};
    uint32_t m_failures = 0;
    bool m_isReplaced = false;
};

} // namespace redwingseam::fleet
