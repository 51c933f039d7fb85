#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/CrashReport.h"
#include "route/CrashAttribution.h"

#include <mutex>
#include <span>
#include <vector>

namespace redwingseam::node {

// The crash attribution of the node behind a mutex. Thread-safe.
class LockedCrashAttribution {
public:
    route::QuarantineState quarantineState(base::Fingerprint);
    std::vector<membership::CrashReport> recordCrash(const route::CrashId&, std::span<const route::InterruptedRequest>, base::Instant now);
    void applyReport(const membership::CrashReport&, base::Instant now);
    std::vector<membership::CrashReport> attributeCrashes(base::Instant now);
    void retractCrash(const route::CrashId&);
    void recordProgress(base::Fingerprint);
    bool isLatestCrashDecided(base::Fingerprint);
    base::Instant reportWindowEnd(base::Fingerprint);
    route::SuspectPosition position(base::Fingerprint);
    void expire(base::Instant now);

private:
    base::Mutex m_mutex;
    route::CrashAttribution m_attribution;
};

} // namespace redwingseam::node
