#pragma once

#include "fleet/Fleet.h"
#include "origin/LookupTable.h"
#include "origin/RecordTable.h"
#include "origin/Resolution.h"
#include "origin/WeightHistory.h"

#include <atomic>

namespace redwingseam::origin {

// Knows at which software version each stream began, so that it goes on there when its client takes it up. While a service
// has one version, this needs no record. Once there are several, each node records the streams that it sends in the store.
// New streams are assigned to versions by the attempts that begin them, so that a lost record can be worked out again unless
// the versions have changed since; else the stream is not taken up. Thread-safe.
class StreamOrigins {
public:
    explicit StreamOrigins(fleet::Fleet& fleet)
        : m_fleet(fleet)
    {
    }

    // Sets how long after its start a client may take a stream up.
    void setLifetime(base::Duration lifetime) { m_lifetime = lifetime; }
    // Records that this node knows all versions that have served within the lifetime.
    void setHistoryKnown() { m_isHistoryKnown = true; }

    // Records that a stream that no upstream has begun yet is sent to an upstream of the origin.
    void recordSent(const base::ClientAttemptId&, const StreamOrigin&, base::Instant now);
    // Returns where the stream that the attempt began may go on. To be called again while this is pending. `service` is that
    // of the request, which is the stream's own unless the record tells otherwise.
    Resolution resolve(const base::ClientAttemptId&, const base::ServiceName& service, base::Instant now);
    // Returns the versions at which streams of the service that may still be taken up have begun. The empty version stands
    // for those that are not known.
    std::vector<base::SoftwareVersion> versionsOf(const base::ServiceName&, base::Instant now);

    RecordTable& records() { return m_records; }
    LookupTable& lookups() { return m_lookups; }
    // Sets what the store says of the numbers of upstreams, by which earlier nodes have assigned streams to versions.
    void setStated(const std::map<base::ServiceName, WeightHistory>&);
    // Returns the streams to record in the store, or nothing if there is no news.
    std::vector<StreamRecord> takeUnwritten(base::Instant now);
    // Returns what this node knows of the attempts.
    std::vector<StreamRecord> find(const std::vector<base::ClientAttemptId>&);

private:
    std::optional<Resolution> resolveFromMemory(const base::ClientAttemptId&, const base::ServiceName&, base::Instant now);
    Resolution conclude(const base::ClientAttemptId&, const Lookup&, const StreamOrigin&, OriginSource, base::Instant now);
    // Returns the answer if nobody knows the stream: the version to which the upstreams before and now assign it, if that is
    // the same one.
    Resolution concludeUnanswered(const base::ClientAttemptId&, const Lookup&, const base::ServiceName&, base::Instant now);
    Resolution concludeUnknown(const base::ClientAttemptId&, base::Instant beganAt, base::Instant now);

    // A client waits longer than this for the next event, and few have an attempt left after a refusal.
    static constexpr base::Duration maxWait = std::chrono::seconds(2);

    fleet::Fleet& m_fleet;
    base::Mutex m_statedMutex;
    std::map<base::ServiceName, WeightHistory> m_stated;
    RecordTable m_records;
    LookupTable m_lookups;
    std::atomic<base::Duration> m_lifetime { std::chrono::seconds(40) };
    std::atomic<bool> m_isHistoryKnown { false };
};

} // namespace redwingseam::origin
