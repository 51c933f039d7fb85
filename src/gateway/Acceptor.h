#pragma once

#include "base/NamedThread.h"
#include "base/ResourceScarcity.h"
#include "gateway/EventLoop.h"
#include "gateway/SocketCalls.h"
#include "log/LogLine.h"

#include <atomic>
#include <cerrno>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <thread>
#include <utility>

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
        for (unsigned retries = 0; m_isPaused && retries < maxRetriesAtClose; ++retries) {
            std::this_thread::sleep_for(retryInterval);
            acceptPending();
        }
        base::FileDescriptor closed = std::move(m_listener);
    }

private:
    static constexpr base::Duration pollTimeout = std::chrono::seconds(60);
    static constexpr base::Duration retryInterval = std::chrono::milliseconds(50);
    // Closing the listener resets the connections in its queue, but a stop must not wait long for them.
    static constexpr unsigned maxRetriesAtClose = 10;

    static void onReadable(void* self, uint32_t) { static_cast<Acceptor*>(self)->acceptPending(); }

    void acceptPending()
    {
        for (auto socket = acceptFrom(m_listener.descriptor()); socket.isOpen(); socket = acceptFrom(m_listener.descriptor()))
            m_handler.addConnection(std::move(socket));
        setPaused(base::isScarcity(errno));
    }

    // While paused, the waiting connections stay in the listen queue, and the listener, which remains readable, is not
    // watched.
    void setPaused(bool isPaused)
    {
        if (std::exchange(m_isPaused, isPaused) == isPaused)
            return;
        LOG(WARNING) << log::LogLine(isPaused ? "accept_paused" : "accept_resumed").text();
        m_loop.change(m_listener.descriptor(), m_eventHandler, isPaused ? 0U : static_cast<uint32_t>(EPOLLIN));
    }

    void run()
    {
        while (!m_isStopping) {
            m_loop.runOnce(m_isPaused ? retryInterval : pollTimeout);
            if (m_isPaused)
                acceptPending();
        }
    }

    EventLoop m_loop;
    base::FileDescriptor m_listener;
    Handler& m_handler;
    EventHandler m_eventHandler;
    std::atomic<bool> m_isStopping { false };
    bool m_isPaused = false;
    base::NamedThread m_thread;
};

} // namespace redwingseam::gateway
