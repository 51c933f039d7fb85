#pragma once

#include "fleet/RetryLimits.h"
#include "http/SocketAddress.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <string>

namespace redwingseam::gateway {

// What a gateway process is told when it starts, whatever file it came from.
struct GatewaySettings {
    base::VmName self;
    base::DataCentreName dataCentre;
    base::RegionName region;
    // Where clients connect.
    http::SocketAddress clients;
    // Where readiness is asked for.
    http::SocketAddress readiness;
    // Where other nodes connect.
    http::SocketAddress peers;
    // Where metrics are served.
    http::SocketAddress metrics;
    http::SocketAddress store;
    // Processor cores that the VM has.
    unsigned cores = 1;
    // A key that was revoked this long ago must not be used any more; zero if that is not required.
    base::Duration revocationBound {};
    // How long a change of the manifest may take to be in force.
    base::Duration manifestBound {};
    // How long an upstream that left may still be sent work.
    base::Duration drainBound {};
    // From SIGTERM until the process is killed.
    base::Duration terminationGrace {};
    // For each service, shared by all nodes.
    fleet::RetryLimits retries;
};

} // namespace redwingseam::gateway
