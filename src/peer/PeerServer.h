#pragma once

#include "base/NamedThread.h"
#include "codec/PeerCodec.h"
#include "http/ListenAddress.h"
#include "peer/PeerSession.h"

#include <array>
#include <atomic>
#include <concepts>
#include <memory>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unordered_map>

namespace redwingseam::peer {

// Takes what other VMs send.
template <typename T>
concept PeerEvents = requires(T& events, const PeerMessage& message)
{
    events.handle(message);
};

// Listens for other VMs. One thread waits on epoll for all connections.
template <PeerEvents Events>
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
        m_listener = Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        int reuse = 1;
        setsockopt(m_listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        auto native = address.native();
        static constexpr int backlog = 128;
        if (bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native) || listen(m_listener.descriptor(), backlog))
            return false;
        m_epoll = Socket(epoll_create1(EPOLL_CLOEXEC));
        m_wake = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
        control(EPOLL_CTL_ADD, m_listener.descriptor(), EPOLLIN);
        control(EPOLL_CTL_ADD, m_wake.descriptor(), EPOLLIN);
        m_thread = base::NamedThread("peer-in", [this] { run(); });
        return true;
    }

    // Ends the thread.
    void stop()
    {
        m_isStopping = true;
        if (m_wake.isOpen())
            eventfd_write(m_wake.descriptor(), 1);
        m_thread.join();
    }

private:
    void control(int operation, int descriptor, uint32_t wanted)
    {
        epoll_event event {};
        event.events = wanted;
        event.data.fd = descriptor;
        epoll_ctl(m_epoll.descriptor(), operation, descriptor, &event);
    }

    void run()
    {
        static constexpr int waitsForever = -1;
        std::array<epoll_event, 64> events {};
        while (!m_isStopping) {
            int count = epoll_wait(m_epoll.descriptor(), events.data(), static_cast<int>(events.size()), waitsForever);
            for (int i = 0; i < count; ++i)
                onReady(events[static_cast<size_t>(i)].data.fd);
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
        for (const auto& bytes : session.takeMessages()) {
            if (auto message = codec::parseMessage(bytes))
                m_events.handle(*message);
        }
        if (!isOpen)
            m_sessions.erase(found);
        else
            control(EPOLL_CTL_MOD, descriptor, session.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void acceptAll()
    {
        while (true) {
            int descriptor = accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            m_sessions[descriptor] = std::make_unique<PeerSession>(Socket(descriptor));
            control(EPOLL_CTL_ADD, descriptor, EPOLLIN);
        }
    }

    Events& m_events;
    Socket m_listener;
    Socket m_epoll;
    Socket m_wake;
    std::atomic<bool> m_isStopping { false };
    std::unordered_map<int, std::unique_ptr<PeerSession>> m_sessions;
    base::NamedThread m_thread;
};

} // namespace redwingseam::peer
