#pragma once

#include "node/HeldSuspect.h"
#include "redwingseam/base/Mutex.h"

#include <vector>

namespace redwingseam::node {

// Suspects that are held back. Thread-safe.
class SuspectWard {
public:
    void add(HeldSuspect);
    // Those whose time has come.
    std::vector<HeldSuspect> takeDue(base::Instant now);
    size_t size();

private:
    base::Mutex m_mutex;
    std::vector<HeldSuspect> m_held;
};

} // namespace redwingseam::node
