#pragma once

#include "forward/CrashHistory.h"
#include "forward/CrashReport.h"
#include "forward/QuarantinedRequest.h"
#include "redwingseam/base/Sharded.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::forward {

// Tracks the requests during which upstreams crash. Requests with the same fingerprint count as the same work,
// whoever sends them and at whichever node. After `quarantineThreshold` crashes in a row a request is
// quarantined and is not sent any more. Thread-safe.
//
// A crash counts only if the attempt was sent after the crash before it, so upstreams that fail together
// count once. An event or a complete response resets the count on the node that receives it; other nodes are not
// notified.
class CrashRegister {
public:
    // Records a crash that this node observed and queues the report for the other nodes.
    void recordCrash(const CrashReport&);
    // Counts a crash that another node observed. The report is not queued again.
    void applyReport(const CrashReport&);
    // Quarantines a request that another node has quarantined.
    void applyQuarantine(const QuarantinedRequest&);
    // Removes the history of a request that has produced an event or a complete response.
    void recordProgress(base::Fingerprint);

    // Returns whether an upstream has crashed during the request.
    bool isSuspect(base::Fingerprint, base::Instant now);
    bool isQuarantined(base::Fingerprint, base::Instant now);

    // Returns and clears the crashes that this node recorded since the last call.
    std::vector<CrashReport> takeReports();
    // Returns the quarantined requests. Also removes all histories whose retention has passed.
    std::vector<QuarantinedRequest> quarantinedRequests(base::Instant now);

    // A request that causes no crash may still lose one or two connections when upstreams fail one after another.
    static constexpr unsigned quarantineThreshold = 3;

private:
    using Histories = std::unordered_map<base::Fingerprint, CrashHistory>;

    unsigned crashCount(base::Fingerprint, base::Instant now);
    static void evictIfFull(Histories&);

    // Clients may keep retrying a quarantined request for this long.
    static constexpr base::Duration retention = std::chrono::hours(1);
    // The two limits bound the memory in a long outage. Reports beyond `maxNewReports` are counted on this node but not
    // sent to other nodes.
    static constexpr size_t maxHistoriesPerShard = 256;
    static constexpr size_t maxNewReports = 256;

    base::Sharded<Histories> m_histories;
    base::Mutex m_newReportsMutex;
    std::vector<CrashReport> m_newReports;
};

} // namespace redwingseam::forward
