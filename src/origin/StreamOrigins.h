#pragma once

#include "fleet/Fleet.h"
#include "origin/InferredOrigin.h"
#include "origin/ListCurrency.h"
#include "origin/LookupTable.h"
#include "origin/RecordTable.h"
#include "origin/Resolution.h"
#include "origin/TakeUp.h"
#include "origin/UnrecordedTimes.h"
#include "origin/WeightHistory.h"

#include <atomic>
#include <optional>

namespace redwingseam::origin {

// Knows at which software version each stream began, so that it goes on there when its client takes it up. While a service
// has one version, this needs no record, but the list of upstreams must be current: a node that is out of step doesn't know the
// version at which others have begun streams. Once there are several, each node records the streams that it sends in the store.
// New streams are assigned to versions by the attempts that begin them, so that a lost record can be worked out again unless
// the versions have changed since; else the stream is not taken up. Thread-safe.
class StreamOrigins {
public:
    explicit StreamOrigins(fleet::Fleet& fleet)
        : m_fleet(fleet)
        , m_listCurrency(fleet)
    {
    }

    // Sets how long after its start a client may take a stream up.
    void setLifetime(base::Duration lifetime) { m_lifetime = lifetime; }
    // Records how long a client that begins a stream will wait, which may be longer than its route's timeout.
    void recordClientTime(base::Duration);
    // Returns the longest such time, which is bounded.
    base::Duration longestClientTime() const { return m_longestClientTime; }
    // Records that this node knows all versions that have served within the lifetime.
    void setHistoryKnown() { m_isHistoryKnown = true; }

    // Records that a stream that no upstream has begun yet is sent to an upstream of the origin.
    void recordSent(const base::ClientAttemptId&, const StreamOrigin&, base::Instant now);
    // Returns where the stream may go on. To be called again while this is pending.
    Resolution resolve(const TakeUp&, base::Instant now);
    // Returns the versions at which streams of the service that may still be taken up have begun. The empty version stands
    // for those that are not known.
    std::vector<base::SoftwareVersion> versionsOf(const base::ServiceName&, base::Instant now);

    RecordTable& records() { return m_records; }
    LookupTable& lookups() { return m_lookups; }
    ListCurrency& listCurrency() { return m_listCurrency; }
    UnrecordedTimes& unrecordedTimes() { return m_unrecordedTimes; }
    // Sets what the store says of the numbers of upstreams, by which earlier nodes have assigned streams to versions.
    void setStated(const std::map<base::ServiceName, WeightHistory>&);
    // Sets what a leader has stated in this era of the store, also if the present numbers are not settled.
    void setStatedInEra(const std::map<base::ServiceName, WeightHistory>&);
    // Returns the streams to record in the store, or nothing if there is no news and all of them are not wanted.
    std::vector<StreamRecord> takeUnwritten(base::Instant now, bool wantsAll = false);
    // Returns what this node knows of the attempts.
    std::vector<StreamRecord> find(const std::vector<base::ClientAttemptId>&);

private:
    // Returns the only version at which the stream may have begun, as far as the list tells.
    std::optional<InferredOrigin> onlyVersion(const base::ServiceName&, base::Instant now);
    // The same while the store has not told of versions that have left.
    std::optional<InferredOrigin> onlyListedVersion(const base::ServiceName&, base::Instant now);
    // Handles a take-up that doesn't name the attempt, which only a service with one version can serve.
    Resolution resolveUnnamed(const TakeUp&, bool isListCurrent, base::Instant now);
    Resolution lookUp(const TakeUp&, const std::optional<InferredOrigin>& onlyVersion, bool isListCurrent, base::Instant now);
    // Returns the answer if nobody knows the stream: the version to which the upstreams before and now assign it, if that is
    // the same one.
    std::optional<InferredOrigin> inferUnanswered(const TakeUp&, const Lookup&, base::Instant now);
    // Returns the version to which the numbers of upstreams assigned the stream at all times in which it can have begun without a
    // record.
    std::optional<InferredOrigin> inferFromAbsence(const TakeUp&, const Lookup&, base::Instant now);
    Resolution conclude(const TakeUp&, const StreamOrigin&, OriginSource, base::Instant now);
    Resolution concludeUnknown(const TakeUp&, base::Instant now);

    // A client waits longer than this for the next event, and few have an attempt left after a refusal.
    static constexpr base::Duration maxWait = std::chrono::seconds(2);
    // Longer than two checks in which some nodes don't reply. A list that is not current by then may lack versions, so the
    // stream is looked up as if there were several.
    static constexpr base::Duration listCheckTime = std::chrono::milliseconds(800);

    // Bounds the records that clients can make a node keep.
    static constexpr base::Duration maxClientTime = std::chrono::seconds(120);

    fleet::Fleet& m_fleet;
    ListCurrency m_listCurrency;
    base::Mutex m_statedMutex;
    std::map<base::ServiceName, WeightHistory> m_stated;
    std::map<base::ServiceName, WeightHistory> m_statedInEra;
    UnrecordedTimes m_unrecordedTimes;
    RecordTable m_records;
    LookupTable m_lookups;
    std::atomic<base::Duration> m_lifetime { std::chrono::seconds(40) };
    std::atomic<base::Duration> m_longestClientTime { base::Duration {} };
    std::atomic<bool> m_isHistoryKnown { false };
};

} // namespace redwingseam::origin
