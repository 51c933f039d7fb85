#include "peer/PeerClient.h"

#include <mutex>
#include <set>

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
        m_queued.push_back({ address, std::move(message) });
    }
    m_poller.wake();
}

void PeerClient::run()
{
    while (!m_isStopping) {
        for (auto descriptor : m_poller.wait()) {
            if (auto found = m_addresses.find(descriptor); found != m_addresses.end())
                advance(std::string(found->second));
        }
        takeQueued();
    }
}

void PeerClient::takeQueued()
{
    std::vector<Queued> queued;
    {
        std::lock_guard guard(m_mutex);
        queued.swap(m_queued);
    }
    std::set<std::string> touched;
    for (auto& item : queued) {
        auto* link = linkTo(item.address);
        if (link && link->send(std::move(item.message)))
            touched.insert(item.address);
    }
    for (const auto& address : touched)
        advance(address);
}

PeerLink* PeerClient::linkTo(const std::string& address)
{
    auto& link = m_links[address];
    if (link)
        return link.get();
    auto parsed = http::parseSocketAddress(address);
    if (!parsed) {
        m_links.erase(address);
        return nullptr;
    }
    link = std::make_unique<PeerLink>(parsed.value());
    m_addresses[link->descriptor()] = address;
    m_poller.add(link->descriptor(), EPOLLIN | EPOLLOUT);
    return link.get();
}

void PeerClient::advance(const std::string& address)
{
    auto found = m_links.find(address);
    if (found == m_links.end())
        return;
    auto& link = *found->second;
    if (link.advance()) {
        m_poller.change(link.descriptor(), link.hasUnsent() ? EPOLLIN | EPOLLOUT : EPOLLIN);
        return;
    }
    // The connection is over; the next message opens another one.
    m_addresses.erase(link.descriptor());
    m_links.erase(found);
}

} // namespace redwingseam::peer
