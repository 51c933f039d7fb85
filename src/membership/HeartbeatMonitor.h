#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace redwingseam::membership {

// Watches the heartbeats of a few VMs of the data centre. The VMs form a ring; each sends to its next
// `watchers` and watches the `watchers` before it, so the cost per VM does not grow with their number.
// Thread-safe.
class HeartbeatMonitor {
public:
    static constexpr size_t monitorsPerVm = 3;

    HeartbeatMonitor(base::VmName self, base::Duration timeout)
        : m_self(std::move(self))
        , m_timeout(timeout)
    {
    }

    // VMs that this one sends its heartbeat to, among the live ones of the data centre.
    std::vector<base::VmName> heartbeatTargets(std::span<const base::VmName> ring) const;
    void onHeartbeat(const base::VmName&, base::Instant now);

    // Watched VMs that have been silent for longer than the patience.
    std::vector<base::VmName> findTimedOut(std::span<const base::VmName> ring, base::Instant now);

private:
    std::vector<base::VmName> monitoredVms(std::span<const base::VmName> ring) const;

    base::VmName m_self;
    base::Duration m_timeout;
    base::Mutex m_mutex;
    std::unordered_map<base::VmName, base::Instant> m_heardAt;
};

} // namespace redwingseam::membership
