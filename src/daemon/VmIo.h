#pragma once

#include "base/MemoryLimit.h"
#include "daemon/NodeEventSink.h"
#include "daemon/VmConfig.h"
#include "http/CallerServer.h"
#include "http/UpstreamClient.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "store/StoreClient.h"

namespace redwingseam::daemon {

// Servers and clients of one VM.
struct VmIo {
    VmIo(const VmConfig& config, NodeEventSink& events)
        : callerServer(config.secret, firstRequestId(config), events, base::bufferBytesFor(config.memoryBytes ? config.memoryBytes : base::detectedMemoryBytes()))
        , upstreamClient(events)
        , storeClient(config.platformUrl, events)
        , peerServer(events)
    {
    }

    // Puts the start time in milliseconds above the low 22 bits, so that ids of different starts do not collide at an
    // upstream. A VM assigns 4 million ids before it reaches those of a start one millisecond later.
    static uint64_t firstRequestId(const VmConfig& config)
    {
        static constexpr unsigned counterBits = 22;
        return (config.node.incarnation << counterBits) + 1;
    }

    // Stops all threads that deliver events. Afterwards the members can be destroyed in any order.
    void stop()
    {
        peerServer.stop();
        upstreamClient.stop();
        storeClient.stop();
        peerClient.stop();
        callerServer.stop();
    }

    http::CallerServer<NodeEventSink> callerServer;
    http::UpstreamClient<NodeEventSink> upstreamClient;
    store::StoreClient<NodeEventSink> storeClient;
    peer::PeerClient peerClient;
    peer::PeerServer<NodeEventSink> peerServer;
};

} // namespace redwingseam::daemon
