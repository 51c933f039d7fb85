#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/GossipEntry.h"

#include <deque>
#include <vector>

namespace redwingseam::membership {

// Facts that a node still has to pass on, each a bounded number of times. Thread-safe.
class RumorQueue {
public:
    // Replaces an older rumor on the same key.
    void add(const GossipEntry&, uint32_t sends);

    // Facts for one message: the least often sent first, at most `most`. Books one send of each.
    std::vector<GossipEntry> take(size_t most);
    size_t size();

private:
    struct Rumor {
        GossipEntry entry;
        uint32_t sendsLeft;
    };

    base::Mutex m_mutex;
    std::deque<Rumor> m_rumors;
};

} // namespace redwingseam::membership
