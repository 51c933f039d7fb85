#pragma once

#include "forward/PartState.h"
#include "forward/TurnOrder.h"
#include "redwingseam/base/Ids.h"

#include <array>

namespace redwingseam::forward {

// Decides when and on which node one request with a quarantined part is tried again. The time between two trials grows
// with each crash, and with each trial that had no result, slowly for a part that has made progress before: upstreams
// may have been changed and changed back. One node after the other gets its turn, so that the nodes do not start trials
// at the same time. While requests of one account explain all crashes, those of other accounts are tried at once and then one
// at a time: something else in the requests of that account may be the cause.
// Thread-safe.
class TrialSchedule {
public:
    // The order in which the nodes that share the trials get their turns.
    TurnOrder& turns() { return m_turns; }
    // Returns when the next trial of a quarantined part with a request of `account` may start on some node.
    static base::Instant nextTrialAt(const PartState&, base::ClientHash account);
    bool isTurn(base::PromptPartHash, const PartState&, base::ClientHash account, base::Instant now) const;

    // Two reports of trials of a part that are closer together are of the same trial: nodes differ a little about its time.
    static constexpr base::Duration minInterval = std::chrono::seconds(2);

private:
    // The time to the next trial after two crashes, three and so on. An upstream that a part crashed needs about the first
    // until it runs again. The last exceeds the retention of crashes, which then ends the quarantine.
    static constexpr std::array<base::Duration, 7> intervals {
        std::chrono::seconds(4),
        std::chrono::seconds(16),
        std::chrono::seconds(64),
        std::chrono::minutes(4),
        std::chrono::minutes(8),
        std::chrono::hours(1),
        std::chrono::hours(12),
    };
    // Trials without a result delay the next one by no more than this step.
    static constexpr size_t lastStepOfTrials = 5;
    static constexpr base::Duration maxProvenInterval = std::chrono::seconds(30);

    TurnOrder m_turns;
};

} // namespace redwingseam::forward
