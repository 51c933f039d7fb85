#pragma once

#include "fleet/WorkRefusal.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <unordered_map>

namespace redwingseam::fleet {

// The refusals of a service's upstreams, each for one incarnation. They are kept apart from the list of upstreams, because
// an entry may go and come back after an outage of the store, or still say that the upstream is ready. Not synchronised.
class WorkRefusals {
public:
    // Returns whether it is news that this incarnation, or a later one, is leaving.
    bool recordLeaving(const base::UpstreamName&, uint64_t incarnation, base::Instant now);
    // Records that the upstream wants no request from this node for `wait`, which is bounded. Earlier statements stand, so
    // a later one never shortens the time. Returns the time that counts.
    base::Duration recordDeferral(const base::UpstreamName&, uint64_t incarnation, base::Duration wait, base::Instant now);
    // Returns the refusal of a listed upstream, and keeps it for as long as the upstream is listed.
    WorkRefusal refusalOf(const UpstreamInstance&, base::Instant now);
    // Removes the refusals of upstreams that have not been listed for long.
    void removeOld(base::Instant now);
    // Handles that the upstream is neither listed nor in use any more.
    void recordRemoval(const UpstreamInstance&);
    bool isEmpty() const { return m_records.empty(); }

private:
    struct Record {
        uint64_t incarnation = 0;
        WorkRefusal refusal;
        base::Instant lastUsedAt {};
    };

    // Returns the record of the incarnation, or null if a later one is known.
    Record* recordFor(const base::UpstreamName&, uint64_t incarnation, base::Instant now);

    // Longer than an outage of the store after which entries come back.
    static constexpr base::Duration retention = std::chrono::hours(1);
    // An upstream that states a longer time, such as one in another unit, is tried again after this.
    static constexpr base::Duration maxDeferral = std::chrono::minutes(10);
    static constexpr size_t maxRecords = 2048;

    std::unordered_map<base::UpstreamName, Record> m_records;
};

} // namespace redwingseam::fleet
