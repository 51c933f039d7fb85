#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::membership {

// Detects VMs of the data centre whose heartbeats stop. The VMs form a ring sorted by name. Each sends
// heartbeats to its next `monitorsPerVm` VMs and monitors the `monitorsPerVm` before it, so the cost per
// VM does not grow with their number. Thread-safe.
class HeartbeatMonitor {
public:
    static constexpr size_t monitorsPerVm = 3;

    HeartbeatMonitor(base::VmName self, base::Duration timeout)
        : m_self(std::move(self))
        , m_timeout(timeout)
    {
    }

    // Returns the VMs that this one sends heartbeats to. `ring` holds the live VMs of the data centre.
    std::vector<base::VmName> heartbeatTargets(std::span<const base::VmName> ring) const;
    void onHeartbeat(const base::VmName&, base::Instant now);

    // Returns the monitored VMs that have sent no heartbeat for longer than the timeout. Starts to monitor VMs
    // that are new in `ring` and stops for those that this VM no longer monitors. A VM that has timed out is
    // returned by each call until it sends a heartbeat or leaves the ring. To be called several times within the timeout: a
    // longer pause is a standstill of this process, and is not counted as the silence of others.
    std::vector<base::VmName> findTimedOut(std::span<const base::VmName> ring, base::Instant now);

private:
    std::vector<base::VmName> monitoredVms(std::span<const base::VmName> ring) const;
    void discountStandstill(base::Instant now);

    base::VmName m_self;
    base::Duration m_timeout;
    base::Mutex m_mutex;
    std::unordered_map<base::VmName, base::Instant> m_lastHeartbeatAt;
    // When the heartbeats were last judged; zero before that.
    base::Instant m_lastCheckAt {};
};

} // namespace redwingseam::membership
