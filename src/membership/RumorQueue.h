#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/GossipEntry.h"

#include <deque>
#include <vector>

namespace redwingseam::membership {

// Gossip entries that a node still has to send to peers, each a bounded number of times. Thread-safe.
class RumorQueue {
public:
    // Queues `entry` for `sendCount` sends. It replaces a queued entry with the same key.
    void add(const GossipEntry& entry, uint32_t sendCount);

    // Returns at most `maxEntries` entries for one message, new ones first and then those sent longest ago,
    // and counts one send of each.
    std::vector<GossipEntry> take(size_t maxEntries);
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
