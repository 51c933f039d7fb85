#pragma once

#include "forward/CrashHistory.h"
#include "forward/CrashReport.h"
#include "forward/QuarantinedRequest.h"
#include "redwingseam/base/Sharded.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::forward {

// Tracks the requests under which upstreams crash. Requests with the same fingerprint count as the same work,
// whoever sends them and at whichever node. After `quarantineThreshold` crashes in a row a request is
// quarantined and is not sent any more. Thread-safe.
//
// A crash counts only if the attempt was sent after the crash before it, so upstreams that fail together
// count once. Any output of the request resets the count.
class CrashRegister {
public:
    // Records a crash that this node observed and queues the report for the other nodes.
    void recordCrash(const CrashReport&);
    // Apply what another node reports.
    void applyReport(const CrashReport&);
    void applyQuarantine(const QuarantinedRequest&);
    // Clears a request that has produced an event or an answer.
    void recordProgress(base::Fingerprint);

    // Returns whether upstreams crashed under the request before.
    bool isSuspect(base::Fingerprint, base::Instant now);
    bool isQuarantined(base::Fingerprint, base::Instant now);

    // Returns the crashes that this node recorded since the last call.
    std::vector<CrashReport> takeReports();
    // Returns the quarantined requests and drops the histories whose retention has passed.
    std::vector<QuarantinedRequest> quarantinedRequests(base::Instant now);

    // Innocent requests lose a connection or two when upstreams fail one after the other.
    static constexpr unsigned quarantineThreshold = 3;

private:
    using Histories = std::unordered_map<base::Fingerprint, CrashHistory>;

    unsigned crashCount(base::Fingerprint, base::Instant now);
    static void evictIfFull(Histories&);

    // Clients may keep retrying a quarantined request for this long.
    static constexpr base::Duration retention = std::chrono::hours(1);
    // Bounds the memory in a long outage.
    static constexpr size_t maxHistoriesPerShard = 256;
    static constexpr size_t maxNewReports = 256;

    base::Sharded<Histories> m_histories;
    base::Mutex m_newReportsMutex;
    std::vector<CrashReport> m_newReports;
};

} // namespace redwingseam::forward
