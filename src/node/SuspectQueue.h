#pragma once

#include "node/QueuedSuspect.h"
#include "redwingseam/base/Mutex.h"

#include <vector>

namespace redwingseam::node {

// Holds suspects until they may be dispatched. Thread-safe.
class SuspectQueue {
public:
    void add(QueuedSuspect);
    // Removes and returns the suspects whose `notBefore` has passed.
    std::vector<QueuedSuspect> takeDue(base::Instant now);
    size_t size();

private:
    base::Mutex m_mutex;
    std::vector<QueuedSuspect> m_suspects;
};

} // namespace redwingseam::node
