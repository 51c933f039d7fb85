#pragma once

#include "base/NamedThread.h"
#include "gateway/EventLoop.h"
#include "gateway/SocketCalls.h"

#include <atomic>
#include <sys/epoll.h>

namespace redwingseam::gateway {

// Accepts connections on its own thread and passes each to `Handler::addConnection`.
template<typename Handler>
class Acceptor {
public:
    Acceptor(base::FileDescriptor listener, Handler& handler)
        : m_listener(std::move(listener))
        , m_handler(handler)
        , m_eventHandler { this, &Acceptor::onReadable }
    {
        m_loop.add(m_listener.descriptor(), m_eventHandler, EPOLLIN);
        m_thread = base::NamedThread("accept", [this] { run(); });
    }
    ~Acceptor() { close(); }
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    // Hands over the connections that wait in the listen queue, and closes the listener.
    void close()
    {
        m_isStopping = true;
        m_loop.wake();
        m_thread.join();
        if (!m_listener.isOpen())
            return;
        acceptPending();
        base::FileDescriptor closed = std::move(m_listener);
    }

private:
    static constexpr base::Duration pollTimeout = std::chrono::seconds(60);

    static void onReadable(void* self, uint32_t) { static_cast<Acceptor*>(self)->acceptPending(); }

    void acceptPending()
    {
        for (auto socket = acceptFrom(m_listener.descriptor()); socket.isOpen(); socket = acceptFrom(m_listener.descriptor()))
            m_handler.addConnection(std::move(socket));
    }

    void run()
    {
        while (!m_isStopping)
            m_loop.runOnce(pollTimeout);
    }

    EventLoop m_loop;
    base::FileDescriptor m_listener;
    Handler& m_handler;
    EventHandler m_eventHandler;
    std::atomic<bool> m_isStopping { false };
    base::NamedThread m_thread;
};

} // namespace redwingseam::gateway
