#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/membership/VerdictRecord.h"
#include "redwingseam/route/DeathId.h"
#include "route/Casualty.h"
#include "route/DeathRecord.h"
#include "route/SuspectPlace.h"
#include "route/Verdict.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::route {

// Finds the requests that kill the upstreams that run them. All requests in flight at a death are
// suspected, on whichever node, and each is then tried on an upstream of its own; one that gets any
// further is cleared, since a request that kills stops at the same place each time. A suspect is
// convicted when it was the only one at a second death and had got no further. A conviction explains
// its deaths, so the others that were in flight at them are cleared.
//
// Nodes see only their own requests. They tell each other at once who was in flight, and a death is
// judged only when that had time to arrive. Not synchronised.
class BlameBook {
public:
    // Time for the other nodes of the data centre to say what they had in flight.
    static constexpr base::Duration hearingTime = std::chrono::milliseconds(200);

    // Further time for a suspect that has brought tokens.
    static constexpr base::Duration doubtTime = std::chrono::seconds(1);
    // Deaths this close together have their suspects kept apart from each other as well.
    static constexpr base::Duration sameTime = std::chrono::seconds(3);

    // Books a death; returns what the other nodes are to be told.
    std::vector<membership::VerdictRecord> onUpstreamLost(const DeathId&, std::span<const Casualty>, base::Instant now);
    // Takes in what another node said.
    void learn(const membership::VerdictRecord&, base::Instant now);
    // Judges the deaths whose hearing is over; returns new convictions.
    std::vector<membership::VerdictRecord> judge(base::Instant now);
    // The upstream is alive after all.
    void disprove(const DeathId&);
    // The request got further than before.
    void clear(base::Fingerprint);

    Verdict verdict(base::Fingerprint) const;
    // Whether the latest death of a suspect has been judged.
    bool isHeard(base::Fingerprint) const;
    // When that is at the earliest.
    base::Instant hearingEnd(base::Fingerprint) const;
    // Place of a suspect among all of its latest death and of deaths shortly before, by which nodes keep
    // suspects apart without asking each other.
    SuspectPlace place(base::Fingerprint) const;
    // Forgets what is older than `oldest`.
    void expire(base::Instant oldest);
    size_t size() const { return m_suspects.size() + m_convicts.size(); }

private:
    struct Suspect {
        std::set<DeathId> deaths;
        DeathId latest;
        base::Instant at;
    };

    bool hasOtherDeath(base::Fingerprint, const DeathId&) const;
    void suspect(base::Fingerprint, const DeathId&, DeathMember, base::Instant now);
    std::optional<base::Fingerprint> onlySuspect(const DeathRecord&) const;
    membership::VerdictRecord convict(base::Fingerprint, base::Instant now);
    void explain(std::span<const DeathId>);

    std::unordered_map<base::Fingerprint, Suspect> m_suspects;
    std::unordered_map<base::Fingerprint, base::Instant> m_convicts;
    std::map<DeathId, DeathRecord> m_deaths;
};

} // namespace redwingseam::route
