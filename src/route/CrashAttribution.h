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

// Finds the requests that crash the upstreams that run them. Every request in flight at a crash, on any node,
// is a candidate for that crash; it becomes a suspect and is retried alone on an upstream. A suspect that
// gets further than before is cleared, since a request that crashes upstreams stops at the same point each
// time. A suspect is quarantined when it was the only suspect at a second crash and had made no progress. Its
// crashes are then attributed to it, which clears the other suspects of those crashes.
//
// A node sees only its own requests, so nodes report at once which requests they had in flight at a crash. A
// crash is decided only after its report window, when these reports have had time to arrive. Not thread-safe.
class CrashAttribution {
public:
    // Time for the other nodes of the data centre to report what they had in flight. It must exceed the time
    // that a message takes there, since reports are sent at once and directly to every node.
    static constexpr base::Duration reportWindow = std::chrono::milliseconds(200);

    // Additional delay before a suspect that has produced tokens is quarantined.
    static constexpr base::Duration tokenGracePeriod = std::chrono::seconds(1);
    // Suspects of crashes within this time of each other are isolated from each other as well.
    static constexpr base::Duration concurrentCrashWindow = std::chrono::seconds(3);

    // Records a crash; returns the reports to send to the other nodes.
    std::vector<membership::CrashReport> recordCrash(const CrashId&, std::span<const InterruptedRequest>, base::Instant now);
    // Applies a report from another node.
    void applyReport(const membership::CrashReport&, base::Instant now);
    // Decides the crashes whose report window has ended; returns the new quarantines.
    std::vector<membership::CrashReport> attributeCrashes(base::Instant now);
    // Removes a crash that did not happen, because the upstream is still alive.
    void retractCrash(const CrashId&);
    // Clears a suspect that got further than in its earlier attempts.
    void recordProgress(base::Fingerprint);

    QuarantineState quarantineState(base::Fingerprint) const;
    // Returns whether the latest crash of a suspect has been decided; true for a request that is no suspect.
    bool isLatestCrashDecided(base::Fingerprint) const;
    // Returns the earliest time at which the latest crash of a suspect can be decided.
    base::Instant reportWindowEnd(base::Fingerprint) const;
    // Returns the position of a suspect among the candidates of all crashes whose report window ends at most
    // `concurrentCrashWindow` before that of its latest crash, or later. Nodes use it to isolate suspects
    // from each other without coordination.
    SuspectPosition position(base::Fingerprint) const;
    // Removes the requests last suspected or quarantined before `oldest`, and the crashes whose report window
    // ended before it.
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
