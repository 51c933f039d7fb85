#pragma once

#include "fleet/LoadMap.h"
#include "forward/PartReports.h"
#include "forward/QuarantinedRequest.h"
#include "forward/RequestClearance.h"
#include "redwingseam/base/Instant.h"
#include "replication/LinkProbe.h"
#include "sync/NodeRecord.h"
#include "sync/UpstreamDelta.h"
#include "sync/UpstreamList.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::replication {

// The reply to a StateQuery. Ages are as of the time of the reply.
struct StateReply {
    uint64_t sequence = 0;
    sync::NodeRecord from;
    uint64_t manifestVersion = 0;
    base::Duration manifestAge {};
    // Set only if the query asks for it and it is newer than the manifest of the querying node.
    std::string manifestText;
    // The text as of base::compress, instead of `manifestText`; null if it is not included.
    std::shared_ptr<const std::string> compressedManifest;
    sync::StoreVersion listVersion;
    // Whether the sender states the era. The release before doesn't.
    bool hasEra = true;
    base::Duration listAge {};
    // How long an upstream that is missing from the list is still used.
    base::Duration missingEntryGrace {};
    // Set only if the query asks for it, it is newer than the list of the querying node and `delta` is not available.
    std::optional<sync::UpstreamList> list;
    // The difference from the list of the querying node; null if it holds the newest list or the difference is not known.
    std::shared_ptr<const sync::UpstreamDelta> delta;
    // The load from all other nodes. Set only within a data centre.
    fleet::LoadMap loads;
    // Set only if the querying node knows fewer nodes.
    std::vector<sync::NodeRecord> nodes;
    // Whether the hub that replies counts on the receiver to query the store as well, should its state become old.
    bool isDeputy = false;
    // Whether the sender, on which the receiver relies, has lost the store.
    bool hasLostStore = false;
    // Informs nodes that missed the notices of the crashes.
    std::vector<forward::QuarantinedRequest> quarantined;
    // Set only if the querying node has quarantined other prompt parts.
    forward::PartReports parts;
    // Informs nodes that missed the notices of progress which ended a quarantine.
    std::vector<forward::RequestClearance> clearances;
    // Set only if the query asks for it.
    std::optional<LinkProbe> probe;
};

} // namespace redwingseam::replication
