#pragma once

#include "fleet/SuspicionCause.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fleet {

// Ejects a failed upstream from selection for a bounded time, with exponential backoff on repeated failures. Being
// replaced by another instance at the same address is recorded here too, but neither expires nor is cleared by
// `clear`: the owner discards the Suspicion when the upstream is listed with a new incarnation or address.
class Suspicion {
public:
    // `extraBackoff` is added to the backoff after an outage.
    void add(SuspicionCause, base::Instant now, base::Duration extraBackoff = {});
    // Ejects the upstream for the initial backoff, whatever has failed before.
    void addBriefly(base::Instant now);
    void clear();
    bool isActive(base::Instant now) const { return now < m_until; }
    bool isReplaced() const { return m_isReplaced; }

private:
    // Roughly the time that a restarted process needs until it accepts connections again.
    static constexpr base::Duration initialBackoff = std::chrono::milliseconds(600);
    // Bounds how long a recovered upstream stays unused.
    static constexpr base::Duration maxBackoff = std::chrono::milliseconds(3000);
    // A full upstream has capacity again after about one short request.
    static constexpr base::Duration overloadBackoff = std::chrono::milliseconds(100);
    // One malformed response says little about the next one.
    static constexpr base::Duration malformedResponseBackoff = std::chrono::milliseconds(50);

    base::Instant m_until {};
    uint32_t m_failures = 0;
    bool m_isReplaced = false;
};

} // namespace redwingseam::fleet
