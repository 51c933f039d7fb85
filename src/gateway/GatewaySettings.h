#pragma once

#include "fleet/RetryLimits.h"
#include "http/SocketAddress.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <string>

namespace redwingseam::gateway {

// Startup settings of a gateway process, independent of the file format they are read from.
struct GatewaySettings {
    base::VmName vmName;
    base::DataCentreName dataCentre;
    base::RegionName region;
    // Address that clients connect to.
    http::SocketAddress clientAddress;
    // Address of the readiness check.
    http::SocketAddress readinessAddress;
    // Address that other nodes connect to.
    http::SocketAddress peerAddress;
    // Address of the admin port: metrics, status and report.
    http::SocketAddress adminAddress;
    http::SocketAddress storeAddress;
    // Number of processor cores of the VM.
    unsigned cores = 1;
    // Memory that the process may use, in bytes; 0 if the settings do not say, so that it is that of the machine.
    size_t memoryBytes = 0;
    // Time after which a revoked key must no longer be accepted; zero if there is no such requirement.
    base::Duration revocationBound {};
    // Time within which a change of the manifest must take effect.
    base::Duration manifestBound {};
    // Time for which an upstream may still receive requests after its removal from the store's list. A list of upstreams
    // that was confirmed longer ago counts as outdated.
    base::Duration upstreamRemovalBound {};
    // Time from SIGTERM until the process is killed.
    base::Duration terminationGrace {};
    // Whether upstreams are shared with so many nodes that these must not ask full ones again and again, nor move streams for
    // being slow like all others.
    bool sharesUpstreams = false;
    // Retry limits per service, shared by all nodes.
    fleet::RetryLimits retries;
};

} // namespace redwingseam::gateway
