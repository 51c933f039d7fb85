#pragma once

#include "origin/Disclaimer.h"
#include "origin/Lookup.h"
#include "origin/NodeRecords.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <map>
#include <optional>
#include <vector>

namespace redwingseam::origin {

// The times in which a stream of which nobody knows a record can have begun, as versions of the list of upstreams. Thread-safe.
class UnrecordedTimes {
public:
    // Sets what the store tells of the records of all nodes. `wallNow` is the time of day, in milliseconds since 1970.
    void setStored(const std::vector<NodeRecords>&, base::Instant now, uint64_t wallNow);
    // Records that this node knows all its streams since it held the list of this version.
    void setKeptSince(const base::VmName& self, sync::StoreVersion);
    // Nothing until the streams of an earlier process of this node are bounded.
    std::optional<sync::StoreVersion> keptSince() const;
    // Returns the gaps that a lookup without an answer leaves for a stream that began since `oldest`, by the time of day. Returns
    // nothing if the nodes have not been asked.
    std::optional<std::vector<RecordGap>> gapsOf(const Lookup&, uint64_t oldest) const;
    // Returns the time of day, in milliseconds since 1970.
    uint64_t timeOfDay(base::Instant) const;

private:
    std::optional<sync::StoreVersion> disclaimedSince(const Lookup&, const base::VmName&) const;

    mutable base::Mutex m_mutex;
    std::map<base::VmName, RecordCoverage> m_stored;
    base::VmName m_self;
    std::optional<sync::StoreVersion> m_keptSince;
    base::Instant m_readAt {};
    uint64_t m_readAtTimeOfDay = 0;
};

} // namespace redwingseam::origin
