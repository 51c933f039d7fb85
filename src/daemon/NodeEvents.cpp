#include "daemon/NodeEvents.h"

#include "codec/PeerCodec.h"
#include "daemon/VmNode.h"

namespace redwingseam::daemon {

void NodeEvents::handle(const node::CallerRequest& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const node::CallerDisconnected& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const node::TokensReceived& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const node::AttemptEnded& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const node::ProbeFailed& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const route::LoadReport& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const route::CacheEvent& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const store::PlatformReply& event)
{
    m_node.node().handle(event);
}

void NodeEvents::handle(const store::ObjectChanged& event)
{
    m_node.node().handle(event);
}

void NodeEvents::onPeerMessage(const std::string& bytes)
{
    if (auto message = codec::parseMessage(bytes))
        m_node.node().handle(*message);
}

void NodeEvents::handle(const node::Tick& event)
{
    m_node.node().handle(event);
}

} // namespace redwingseam::daemon
