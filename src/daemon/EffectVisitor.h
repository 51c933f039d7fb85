#pragma once

#include "codec/PeerCodec.h"
#include "daemon/VmIo.h"
#include "redwingseam/node/Effect.h"

namespace redwingseam::daemon {

// One overload per kind of effect.
struct EffectVisitor {
    VmIo& io;

    void operator()(const node::StartGeneration& effect) const { io.upstreams.start(effect); }
    void operator()(const node::CallService& effect) const { io.upstreams.call(effect); }
    void operator()(const node::CancelAttempt& effect) const { io.upstreams.cancel(effect); }
    void operator()(const node::SendTokens& effect) const { io.callers.send(effect); }
    void operator()(const node::Finish& effect) const { io.callers.finish(effect); }
    void operator()(const node::Refuse& effect) const { io.callers.refuse(effect); }
    void operator()(const store::PlatformCall& effect) const { io.store.call(effect); }
    void operator()(const store::WatchObjects& effect) const { io.store.watch(effect); }
    void operator()(const peer::SendPeerMessage& effect) const { io.peers.send(effect.address, codec::formatMessage(effect.message)); }
};

} // namespace redwingseam::daemon
