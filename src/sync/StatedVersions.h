#pragma once

#include "fleet/Fleet.h"
#include "origin/StoredOrigins.h"
#include "origin/StreamOrigins.h"
#include "sync/Observation.h"

#include <map>
#include <optional>
#include <set>

namespace redwingseam::sync {

// What the store says of the numbers of upstreams of each software version, and what a leader is to write there. Not synchronised.
class StatedVersions {
public:
    StatedVersions(fleet::Fleet& fleet, origin::StreamOrigins& origins)
        : m_fleet(fleet)
        , m_origins(origins)
    {
    }

    const origin::VersionStatement& statement() const { return m_statement; }
    // Takes over what was read, unless it is a copy that lacks what this leader has stated and observed since.
    void learn(const origin::StoredOrigins&, bool isLeader);
    // Removes what ended before `oldest`, and gives the rest to the node's take-ups. Both times are in milliseconds since 1970.
    void publish(uint64_t era, uint64_t oldest, uint64_t timeOfDay);
    // Records versions that have left, or that a restored store no longer tells of: they may have begun streams that are taken up now.
    void applyVersions(uint64_t era, base::Instant now);

    // Returns the statement that holds now, which equals the one in the store if nothing has changed.
    origin::VersionStatement next(const Observation&, const std::set<base::ServiceName>& services) const;
    // Records that the list of this version still had the numbers stated.
    void confirm(StoreVersion list) { m_confirmedList = list; }
    // Records that the store has acknowledged the statement.
    void replace(origin::VersionStatement, StoreVersion confirmedList);
    // Handles that this node doesn't lead, so that others may state what it doesn't observe.
    void loseTrack() { m_confirmedList.reset(); }

private:
    std::map<base::ServiceName, origin::WeightHistory> reliableServices(uint64_t timeOfDay) const;
    void record(origin::VersionStatement&, const base::ServiceName&, const Observation&) const;
    void logNumbers() const;

    fleet::Fleet& m_fleet;
    origin::StreamOrigins& m_origins;
    origin::VersionStatement m_statement;
    // The last list whose numbers this leader has found to be those stated; nothing before it has done so.
    std::optional<StoreVersion> m_confirmedList;
    // Whether the statement is older than the store's era, and yet has all versions.
    bool m_hasOutlivedRestore = false;
};

} // namespace redwingseam::sync
