#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/membership/CrashReport.h"
#include "redwingseam/route/CrashId.h"
#include "route/CrashRecord.h"
#include "route/InterruptedRequest.h"
#include "route/QuarantineState.h"
#include "route/SuspectPosition.h"

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
class CrashAttribution {
public:
    // Time for the other nodes of the data centre to say what they had in flight.
    static constexpr base::Duration reportWindow = std::chrono::milliseconds(200);

    // Further time for a suspect that has brought tokens.
    static constexpr base::Duration tokenGracePeriod = std::chrono::seconds(1);
    // Deaths this close together have their suspects kept apart from each other as well.
    static constexpr base::Duration concurrentCrashWindow = std::chrono::seconds(3);

    // Books a death; returns what the other nodes are to be told.
    std::vector<membership::CrashReport> recordCrash(const CrashId&, std::span<const InterruptedRequest>, base::Instant now);
    // Takes in what another node said.
    void applyReport(const membership::CrashReport&, base::Instant now);
    // Judges the deaths whose hearing is over; returns new convictions.
    std::vector<membership::CrashReport> attributeCrashes(base::Instant now);
    // The upstream is alive after all.
    void retractCrash(const CrashId&);
    // The request got further than before.
    void recordProgress(base::Fingerprint);

    QuarantineState quarantineState(base::Fingerprint) const;
    // Whether the latest death of a suspect has been judged.
    bool isLatestCrashDecided(base::Fingerprint) const;
    // When that is at the earliest.
    base::Instant reportWindowEnd(base::Fingerprint) const;
    // Place of a suspect among all of its latest death and of deaths shortly before, by which nodes keep
    // suspects apart without asking each other.
    SuspectPosition position(base::Fingerprint) const;
    // Forgets what is older than `oldest`.
    void expire(base::Instant oldest);
    size_t size() const { return m_suspects.size() + m_quarantined.size(); }

private:
    struct Suspect {
        std::set<CrashId> crashes;
        CrashId latestCrash;
        base::Instant suspectedAt;
    };

    bool hasOtherCrash(base::Fingerprint, const CrashId&) const;
    void addSuspect(base::Fingerprint, const CrashId&, CrashCandidate, base::Instant now);
    std::optional<base::Fingerprint> soleSuspect(const CrashRecord&) const;
    membership::CrashReport quarantine(base::Fingerprint, base::Instant now);
    void removeCrashes(std::span<const CrashId>);

    std::unordered_map<base::Fingerprint, Suspect> m_suspects;
    std::unordered_map<base::Fingerprint, base::Instant> m_quarantined;
    std::map<CrashId, CrashRecord> m_crashes;
};

} // namespace redwingseam::route
