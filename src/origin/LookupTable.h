#pragma once

#include "origin/Lookup.h"
#include "origin/StreamRecord.h"
#include "redwingseam/base/Mutex.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::origin {

// The lookups of a node that are in progress. Thread-safe.
class LookupTable {
public:
    // Returns the state of the lookup, which begins with the first call.
    Lookup use(const base::ClientAttemptId&, base::Instant now);
    void end(const base::ClientAttemptId&);
    // Returns whether a lookup waits for a read of the store.
    bool isStoreNeeded();
    // Applies a read of the store that began at `readBegan`.
    void answerFromStore(const std::vector<StreamRecord>&, base::Instant readBegan);
    void answerFromPeer(const std::vector<StreamRecord>&);
    // Records that all nodes that are known are asked about the attempts.
    void recordAsked(const std::vector<base::ClientAttemptId>&, const std::vector<base::VmName>& nodes);
    // Records that a node doesn't know the attempts.
    void recordDisclaimer(const std::vector<base::ClientAttemptId>&, const Disclaimer&);
    // Returns the attempts about which the other nodes are to be asked now, each once, and ends lookups that nobody uses.
    std::vector<base::ClientAttemptId> takeQuestions(base::Instant now);

private:
    void answer(const std::vector<StreamRecord>&, OriginSource);

    // The other nodes are asked although the store has not answered. Longer than a read that it serves well.
    static constexpr base::Duration storeReadTime = std::chrono::milliseconds(250);
    // Requests use their lookups each few tens of milliseconds.
    static constexpr base::Duration unusedLifetime = std::chrono::seconds(5);

    base::Mutex m_mutex;
    std::unordered_map<base::ClientAttemptId, Lookup> m_lookups;
};

} // namespace redwingseam::origin
