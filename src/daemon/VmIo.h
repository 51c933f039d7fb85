#pragma once

#include "daemon/NodeEvents.h"
#include "daemon/VmConfig.h"
#include "http/CallerServer.h"
#include "http/UpstreamClient.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "store/StoreClient.h"

namespace redwingseam::daemon {

// The servers and clients of one VM.
struct VmIo {
    VmIo(const VmConfig& config, NodeEvents& events)
        : callers(config.secret, firstRequestId(config), events)
        , upstreams(events)
        , store(config.platformUrl, events)
        , peersIn(events)
    {
    }

    // Ids of different starts never meet at an upstream: the start's time leads.
    static uint64_t firstRequestId(const VmConfig& config)
    {
        static constexpr unsigned counterBits = 22;
        return (config.node.incarnation << counterBits) + 1;
    }

    // Ends all threads that bring events. After it the parts can be destroyed in any order.
    void stop()
    {
        peersIn.stop();
        upstreams.stop();
        store.stop();
        peers.stop();
        callers.stop();
    }

    http::CallerServer<NodeEvents> callers;
    http::UpstreamClient<NodeEvents> upstreams;
    store::StoreClient<NodeEvents> store;
    peer::PeerClient peers;
    peer::PeerServer<NodeEvents> peersIn;
};

} // namespace redwingseam::daemon
