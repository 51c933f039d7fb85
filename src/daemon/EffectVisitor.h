#pragma once

#include "codec/PeerCodec.h"
#include "daemon/VmIo.h"
#include "redwingseam/node/Effect.h"

namespace redwingseam::daemon {

// Executes effects, with one overload per type.
struct EffectVisitor {
    VmIo& io;

    void operator()(const node::StartGeneration& effect) const { io.upstreamClient.start(effect); }
    void operator()(const node::CallService& effect) const { io.upstreamClient.call(effect); }
    void operator()(const node::CancelAttempt& effect) const { io.upstreamClient.cancel(effect); }
    void operator()(const node::SendTokens& effect) const { io.callerServer.send(effect); }
    void operator()(const node::Finish& effect) const { io.callerServer.finish(effect); }
    void operator()(const node::Refuse& effect) const { io.callerServer.refuse(effect); }
    void operator()(const store::StoreCall& effect) const { io.storeClient.call(effect); }
    void operator()(const store::WatchObjects& effect) const { io.storeClient.watch(effect); }
    void operator()(const peer::SendPeerMessage& effect) const { io.peerClient.send(effect.address, codec::formatMessage(effect.message)); }
};

} // namespace redwingseam::daemon
