#pragma once

#include "forward/CrashHistory.h"
#include "forward/CrashRecord.h"
#include "forward/QuarantinedRequest.h"
#include "forward/RequestReports.h"
#include "forward/TurnOrder.h"
#include "redwingseam/base/Sharded.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace redwingseam::forward {

// Tracks the requests during which upstreams crash. Requests with the same fingerprint count as the same work,
// whoever sends them and at whichever node. After `quarantineThreshold` crashes in a row a request is quarantined. It
// is then sent only in rare trials, by one node at a time, since the crashes may have been losses of responses for
// another reason. Thread-safe.
//
// A crash counts only if the attempt was sent after the crash before it, so upstreams that fail together
// count once. An event or a complete response resets the count on all nodes: a request that crashes upstreams never
// has one.
class CrashRegister {
public:
    // Records a crash that this node observed and queues the report for the other nodes.
    void recordCrash(const CrashReport&);
    // Records an event or a complete response, which ends a quarantine, and queues the report for the other nodes if
    // there was a crash before.
    void recordProgress(base::Fingerprint, base::Instant now);
    // Records a response with which an upstream rejected the request or failed to run it. It resets the count on this
    // node, but does not end a quarantine: the upstream may not have got to what crashes others.
    void recordFailureResponse(base::Fingerprint);

    // Apply what other nodes observed. It is not queued again.
    void applyReport(const CrashReport&);
    void applyClearance(const RequestClearance&);
    void applyTrial(const RequestTrial&);
    // Quarantines a request that another node has quarantined, unless it has made progress since.
    void applyQuarantine(const QuarantinedRequest&);
    // Takes over what an earlier process knew, unless the request has made progress since.
    void applyRecord(const CrashRecord&);

    // Returns whether an upstream has crashed during the request.
    bool isSuspect(base::Fingerprint, base::Instant now);
    bool isQuarantined(base::Fingerprint, base::Instant now);
    // Returns when a quarantined request may be tried again.
    std::optional<base::Instant> quarantinedUntil(base::Fingerprint, base::Instant now);
    // Returns whether this node may send the request as a trial if it is quarantined.
    bool isTrialDue(base::Fingerprint, base::Instant now);
    // As isTrialDue, and records the trial if it is due.
    bool tryBeginTrial(base::Fingerprint, base::Instant now);
    // Withdraws a trial that this node began at `startedAt` if the request was not sent after all.
    void cancelTrial(base::Fingerprint, base::Instant startedAt);
    // The order in which the nodes that share the trials get their turns.
    TurnOrder& turns() { return m_turns; }

    // Returns and clears what this node has to report since the last call.
    RequestReports takeReports();
    // Returns the quarantined requests. Also removes all histories whose retention has passed.
    std::vector<QuarantinedRequest> quarantinedRequests(base::Instant now);
    // Returns what must outlive this process, in the order of the fingerprints: requests that are quarantined or one crash short
    // of it. Most requests with a single crash are sound and only shared an upstream with another.
    std::vector<CrashRecord> lastingRecords(base::Instant now);
    // Returns the requests whose quarantine has ended by progress, for nodes that missed the report.
    std::vector<RequestClearance> clearedRequests();

    // A request that causes no crash may still lose one or two connections when upstreams fail one after another.
    static constexpr unsigned quarantineThreshold = 3;

private:
    using Histories = std::unordered_map<base::Fingerprint, CrashHistory>;

    unsigned crashCount(base::Fingerprint, base::Instant now);
    // Returns whether the request is quarantined.
    static bool holds(const CrashHistory&, base::Instant now);
    static base::Instant nextTrialAt(const CrashHistory&);
    static CrashHistory& historyIn(Histories&, base::Fingerprint);
    static void evictIfFull(Histories&);
    static void clear(CrashHistory&, base::Instant progressAt);
    // Returns whether the record quarantines the request.
    bool merge(const CrashRecord&);

    // Clients may keep retrying a quarantined request for this long.
    static constexpr base::Duration retention = std::chrono::hours(1);
    // The time from the last crash or trial to the next trial. After the last trial the request waits for the retention
    // to pass, so that it reaches no more than this number of upstreams.
    static constexpr std::array<base::Duration, 3> trialIntervals {
        std::chrono::seconds(16),
        std::chrono::minutes(2),
        std::chrono::minutes(20),
    };
    // Two reports of trials of a request that are closer together are of the same trial: nodes differ a little about its
    // time.
    static constexpr base::Duration minTrialInterval = std::chrono::seconds(2);
    // The limits bound the memory in a long outage. Reports beyond `maxNewReports` are counted on this node but not
    // sent to other nodes.
    static constexpr size_t maxHistoriesPerShard = 256;
    static constexpr size_t maxNewReports = 256;
    static constexpr size_t maxClearedRequests = 64;
    static constexpr size_t maxLastingRecords = 512;

    TurnOrder m_turns;
    base::Sharded<Histories> m_histories;
    base::Mutex m_newReportsMutex;
    RequestReports m_newReports;
};

} // namespace redwingseam::forward
