#pragma once

#include "forward/PartState.h"
#include "redwingseam/base/Ids.h"

#include <atomic>
#include <cstdint>

namespace redwingseam::forward {

// Decides when and on which node one request with a quarantined part is tried again. The time between two trials grows
// with each crash. One node after the other gets its turn, so that the nodes do not start trials at the same time.
// Thread-safe.
class TrialSchedule {
public:
    // Sets the position of this node among all nodes that share the trials.
    void setPosition(uint32_t position, uint32_t nodeCount);
    // Returns when the next trial of a quarantined part may start on some node.
    static base::Instant nextTrialAt(const PartState&);
    bool isTurn(base::PromptPartHash, const PartState&, base::Instant now) const;

    // After this many crashes a part is not tried any more.
    static constexpr unsigned maxCrashes = 7;

private:
    // An upstream that a part crashed needs about this long until it runs again.
    static constexpr base::Duration firstInterval = std::chrono::seconds(4);
    static constexpr unsigned growth = 4;
    // The number of nodes that may start a trial doubles this often: at first one, which may receive no request with the
    // part. Longer than a report takes to reach all nodes.
    static constexpr base::Duration turnDuration = std::chrono::milliseconds(1000);

    std::atomic<uint32_t> m_position { 0 };
    std::atomic<uint32_t> m_nodeCount { 1 };
};

} // namespace redwingseam::forward
