#pragma once

#include "redwingseam/base/Instant.h"
#include "route/Casualty.h"
#include "route/VerdictChange.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::route {

// Finds the requests that kill the upstreams that run them. All requests in flight at a death are
// suspected and from then on kept on separate upstreams, so that the next death points at one. A
// suspect is convicted when it was the only one at a second death and its attempt had got no further
// than the one before: a request that kills always stops at the same place, while one that is hit
// twice by chance has usually moved on. A conviction explains its deaths, so the others are cleared.
class BlameBook {
public:
    // Books a death and returns the verdicts that it changes.
    std::vector<VerdictChange> onUpstreamLost(std::span<const Casualty>, base::Instant now);
    // Takes in what a peer found. A conviction is final; a suspicion never weakens it.
    void learn(base::Fingerprint, Verdict, base::Instant now);
    Verdict verdict(base::Fingerprint) const;
    // Forgets verdicts that are older than `oldest`.
    void expire(base::Instant oldest);
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        Verdict verdict = Verdict::Clear;
        std::vector<uint64_t> deaths;
        base::Instant at;
    };

    void convict(base::Fingerprint, base::Instant now, std::vector<VerdictChange>&);
    void suspect(base::Fingerprint, uint64_t death, base::Instant now, std::vector<VerdictChange>&);
    void clearDeath(uint64_t death, std::vector<VerdictChange>&);

    std::unordered_map<base::Fingerprint, Entry> m_entries;
    uint64_t m_nextDeath = 1;
};

} // namespace redwingseam::route
