#pragma once

#include "forward/CrashHistory.h"
#include "forward/CrashReport.h"
#include "forward/QuarantinedRequest.h"
#include "redwingseam/base/Sharded.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::forward {

// Requests that upstreams broke under, by what makes two requests the same work, whoever sends them and at
// whichever node. After `quarantineThreshold` crashes in a row the request is not sent any more. Thread-safe.
//
// A crash counts only if the attempt was sent after the crash before it, so upstreams that fail together count
// once; a request that brought anything starts anew.
class CrashRegister {
public:
    // A crash that this node saw; told to the other nodes.
    void recordCrash(const CrashReport&);
    // Another node's word.
    void applyReport(const CrashReport&);
    void applyQuarantine(const QuarantinedRequest&);
    // The request brought an event or an answer.
    void recordProgress(base::Fingerprint);

    // Whether upstreams broke under the request before.
    bool isSuspect(base::Fingerprint, base::Instant now);
    bool isQuarantined(base::Fingerprint, base::Instant now);

    // Crashes that this node saw since the last call.
    std::vector<CrashReport> takeReports();
    std::vector<QuarantinedRequest> quarantined(base::Instant now);

    // Innocent requests lose a connection or two when upstreams fail one after the other.
    static constexpr unsigned quarantineThreshold = 3;

private:
    using Histories = std::unordered_map<base::Fingerprint, CrashHistory>;

    unsigned crashCount(base::Fingerprint, base::Instant now);
    static void evictIfFull(Histories&);

    // How long a client may go on repeating a request that harms.
    static constexpr base::Duration retention = std::chrono::hours(1);
    // Bounds the memory in a long outage.
    static constexpr size_t maxHistoriesPerShard = 256;
    static constexpr size_t maxNewReports = 256;

    base::Sharded<Histories> m_histories;
    base::Mutex m_newReportsMutex;
    std::vector<CrashReport> m_newReports;
};

} // namespace redwingseam::forward
