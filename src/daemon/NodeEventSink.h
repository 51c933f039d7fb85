#pragma once

#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/node/ProbeFailed.h"
#include "redwingseam/node/Tick.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"
#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/StoreReply.h"

#include <string>

namespace redwingseam::daemon {

class VmNode;

// Forwards events from the servers and clients to the node. Thread-safe.
class NodeEventSink {
public:
    explicit NodeEventSink(VmNode& node)
        : m_node(node)
    {
    }

    void handle(const node::CallerRequest&);
    void handle(const node::CallerDisconnected&);
    void handle(const node::TokensReceived&);
    void handle(const node::AttemptEnded&);
    void handle(const node::ProbeFailed&);
    void handle(const route::LoadReport&);
    void handle(const route::CacheEvent&);
    void handle(const store::StoreReply&);
    void handle(const store::ObjectChanged&);
    // Decodes a message of another VM and forwards it. A message that cannot be decoded is dropped without
    // a log line.
    void onPeerMessage(const std::string&);
    void handle(const node::Tick&);

private:
    VmNode& m_node;
};

} // namespace redwingseam::daemon
