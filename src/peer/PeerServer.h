#pragma once

#include "base/NamedThread.h"
#include "base/ResourceScarcity.h"
#include "http/SocketAddress.h"
#include "log/LogLine.h"
#include "peer/InboundConnection.h"
#include "peer/Poller.h"

#include <atomic>
#include <cerrno>
#include <concepts>
#include <glog/logging.h>
#include <memory>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace redwingseam::peer {

// Handles the messages of other VMs. Called on the thread of the PeerServer.
template<typename T>
concept PeerMessageHandler = requires(T& handler, const std::string& message)
{
    handler.onPeerMessage(message);
};

// Accepts connections from other VMs and passes their messages to a handler. One thread serves all
// connections with epoll and calls the handler. `start` and `stop` must be called on the owner's thread.
template<PeerMessageHandler Handler>
class PeerServer {
public:
    explicit PeerServer(Handler& handler)
        : m_handler(handler)
    {
    }

    ~PeerServer() { stop(); }
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Starts listening. Returns false if the address cannot be bound.
    bool start(const http::SocketAddress& address)
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

    // Stops the thread and waits for it.
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
            for (auto descriptor : m_poller.wait(m_isPaused ? std::optional(retryInterval) : std::nullopt))
                onReady(descriptor);
            if (m_isPaused)
                acceptAll();
        }
    }

    void onReady(int descriptor)
    {
        if (descriptor == m_listener.descriptor()) {
            acceptAll();
            return;
        }
        auto found = m_connections.find(descriptor);
        if (found == m_connections.end())
            return;
        auto& connection = *found->second;
        bool isOpen = connection.processIo();
        for (const auto& message : connection.takeMessages())
            m_handler.onPeerMessage(message);
        if (!isOpen)
            m_connections.erase(found);
        else
            m_poller.change(descriptor, connection.hasPendingOutput() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void acceptAll()
    {
        while (true) {
            int descriptor = accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                setPaused(base::isScarcity(errno));
                return;
            }
            m_connections[descriptor] = std::make_unique<InboundConnection>(base::FileDescriptor(descriptor));
            m_poller.add(descriptor, EPOLLIN);
        }
    }

    // While paused, the waiting connections stay in the listen queue, and the listener, which remains readable, is not
    // watched.
    void setPaused(bool isPaused)
    {
        if (std::exchange(m_isPaused, isPaused) == isPaused)
            return;
        LOG(WARNING) << log::LogLine(isPaused ? "peer_accept_paused" : "peer_accept_resumed").text();
        m_poller.change(m_listener.descriptor(), isPaused ? 0U : static_cast<uint32_t>(EPOLLIN));
    }

    static constexpr base::Duration retryInterval = std::chrono::milliseconds(50);

    Handler& m_handler;
    base::FileDescriptor m_listener;
    Poller m_poller;
    std::atomic<bool> m_isStopping { false };
    bool m_isPaused = false;
    std::unordered_map<int, std::unique_ptr<InboundConnection>> m_connections;
    base::NamedThread m_thread;
};

} // namespace redwingseam::peer
