#pragma once

#include "fakes/FakeUpstream.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/node/ProbeFailed.h"
#include "redwingseam/node/Tick.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/peer/PeerMessage.h"
#include "redwingseam/route/LoadReport.h"
#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/StoreReply.h"

#include <variant>

namespace redwingseam::fakes {

// Event that a node handles.
using NodeEvent = std::variant<node::CallerRequest, node::CallerDisconnected, node::TokensReceived, node::AttemptEnded, node::ProbeFailed, route::LoadReport, store::StoreReply, store::ObjectChanged, peer::PeerMessage, node::Tick>;

// The next token of an attempt is due.
struct NextTokenDue {
    size_t upstream = 0;
    uint64_t crashes = 0;
    AttemptKey attempt;
};

// A node's call arrives at the platform's store.
struct StoreCallArrival {
    store::StoreCall call;
};

// A caller reconnects after the loss of its VM.
struct CallerReconnect {
    size_t caller = 0;
};

using ClusterAction = std::variant<NodeEvent, NextTokenDue, StoreCallArrival, CallerReconnect>;

// Action at a point in virtual time. `node` and `nodeStartCount` name the target node and the count of its
// starts if the action concerns a node.
struct ClusterEvent {
    base::Instant at;
    uint64_t sequence = 0;
    size_t node = 0;
    uint64_t nodeStartCount = 0;
    ClusterAction action;

    bool operator>(const ClusterEvent& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
};

} // namespace redwingseam::fakes
