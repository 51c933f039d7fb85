#include "daemon/NodeEventSink.h"

#include "codec/PeerCodec.h"
#include "daemon/VmNode.h"

namespace redwingseam::daemon {

void NodeEventSink::handle(const node::CallerRequest& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const node::CallerDisconnected& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const node::TokensReceived& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const node::AttemptEnded& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const node::ProbeFailed& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const route::LoadReport& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const route::CacheEvent& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const store::StoreReply& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::handle(const store::ObjectChanged& event)
{
    m_node.node().handle(event);
}

void NodeEventSink::onPeerMessage(const std::string& bytes)
{
    if (auto message = codec::parseMessage(bytes))
        m_node.node().handle(*message);
}

void NodeEventSink::handle(const node::Tick& event)
{
    m_node.node().handle(event);
}

} // namespace redwingseam::daemon
