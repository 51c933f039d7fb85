#pragma once

#include "base/NamedThread.h"
#include "http/ListenAddress.h"
#include "peer/PeerSession.h"
#include "peer/Poller.h"

#include <atomic>
#include <concepts>
#include <memory>
#include <sys/socket.h>
#include <unordered_map>

namespace redwingseam::peer {

// Takes what other VMs send.
template<typename T>
concept PeerEvents = requires(T& events, const std::string& message)
{
    events.onPeerMessage(message);
};

// Listens for other VMs. One thread waits on epoll for all connections.
template<PeerEvents Events>
class PeerServer {
public:
    explicit PeerServer(Events& events)
        : m_events(events)
    {
    }

    ~PeerServer() { stop(); }
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Starts to listen. Returns false if the address is taken.
    bool start(const http::ListenAddress& address)
    {
        m_listener = base::FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        int reuse = 1;
        setsockopt(m_listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        auto native = address.native();
        static constexpr int backlog = 128;
        if (bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native) || listen(m_listener.descriptor(), backlog))
            return false;
        m_poller.add(m_listener.descriptor(), EPOLLIN);
        m_thread = base::NamedThread("peer-in", [this] { run(); });
        return true;
    }

    // Ends the thread.
    void stop()
    {
        m_isStopping = true;
        m_poller.wake();
        m_thread.join();
    }

private:
    void run()
    {
        while (!m_isStopping) {
            for (auto descriptor : m_poller.wait())
                onReady(descriptor);
        }
    }

    void onReady(int descriptor)
    {
        if (descriptor == m_listener.descriptor()) {
            acceptAll();
            return;
        }
        auto found = m_sessions.find(descriptor);
        if (found == m_sessions.end())
            return;
        auto& session = *found->second;
        bool isOpen = session.advance();
        for (const auto& message : session.takeMessages())
            m_events.onPeerMessage(message);
        if (!isOpen)
            m_sessions.erase(found);
        else
            m_poller.change(descriptor, session.hasUnsent() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void acceptAll()
    {
        while (true) {
            int descriptor = accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            m_sessions[descriptor] = std::make_unique<PeerSession>(base::FileDescriptor(descriptor));
            m_poller.add(descriptor, EPOLLIN);
        }
    }

    Events& m_events;
    base::FileDescriptor m_listener;
    Poller m_poller;
    std::atomic<bool> m_isStopping { false };
    std::unordered_map<int, std::unique_ptr<PeerSession>> m_sessions;
    base::NamedThread m_thread;
};

} // namespace redwingseam::peer
