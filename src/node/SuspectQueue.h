#pragma once

#include "node/QueuedSuspect.h"
#include "redwingseam/base/Mutex.h"

#include <vector>

namespace redwingseam::node {

// Suspects that are held back. Thread-safe.
class SuspectQueue {
public:
    void add(QueuedSuspect);
    // Those whose time has come.
    std::vector<QueuedSuspect> takeDue(base::Instant now);
    size_t size();

private:
    base::Mutex m_mutex;
    std::vector<QueuedSuspect> m_suspects;
};

} // namespace redwingseam::node
