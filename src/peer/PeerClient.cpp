#include "peer/PeerClient.h"

#include <mutex>

namespace redwingseam::peer {

PeerClient::PeerClient()
{
    m_thread = base::NamedThread("peer-out", [this] { run(); });
}

void PeerClient::stop()
{
    m_isStopping = true;
    m_poller.wake();
    m_thread.join();
}

void PeerClient::send(const std::string& address, std::string message)
{
    m_bytes += message.size();
    ++m_messages;
    {
        std::lock_guard guard(m_mutex);
        m_queuedMessages.push_back({ address, std::move(message) });
    }
    m_poller.wake();
}

void PeerClient::run()
{
    while (!m_isStopping) {
        for (auto descriptor : m_poller.wait()) {
            if (auto found = m_addressByDescriptor.find(descriptor); found != m_addressByDescriptor.end())
                processIo(std::string(found->second));
        }
        sendQueued();
    }
}

void PeerClient::sendQueued()
{
    std::vector<QueuedMessage> queued;
    {
        std::lock_guard guard(m_mutex);
        queued.swap(m_queuedMessages);
    }
    std::set<std::string> updatedAddresses;
    for (auto& item : queued) {
        auto* connection = connectionTo(item.address);
        if (connection && connection->send(std::move(item.message)))
            updatedAddresses.insert(item.address);
    }
    for (const auto& address : updatedAddresses)
        processIo(address);
}

OutboundConnection* PeerClient::connectionTo(const std::string& address)
{
    if (auto found = m_connections.find(address); found != m_connections.end())
        return found->second.get();
    // The message is dropped, as for a peer that cannot be reached.
    auto parsed = http::parseSocketAddress(address);
    if (!parsed || m_pendingAddresses.size() >= maxPendingConnections)
        return nullptr;
    auto connection = std::make_unique<OutboundConnection>(parsed.value());
    m_pendingAddresses.insert(address);
    m_addressByDescriptor[connection->descriptor()] = address;
    m_poller.add(connection->descriptor(), EPOLLIN | EPOLLOUT);
    return m_connections.emplace(address, std::move(connection)).first->second.get();
}

void PeerClient::processIo(const std::string& address)
{
    auto found = m_connections.find(address);
    if (found == m_connections.end())
        return;
    auto& connection = *found->second;
    bool isOpen = connection.processIo();
    if (!isOpen || connection.isEstablished())
        m_pendingAddresses.erase(address);
    if (isOpen) {
        m_poller.change(connection.descriptor(), connection.hasPendingOutput() ? EPOLLIN | EPOLLOUT : EPOLLIN);
        return;
    }
    // The connection is closed. The next message to this address opens a new one.
    m_addressByDescriptor.erase(connection.descriptor());
    m_connections.erase(found);
}

} // namespace redwingseam::peer
