#pragma once

#include "base/FileDescriptor.h"
#include "base/NamedThread.h"

#include <arpa/inet.h>
#include <atomic>
#include <poll.h>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// An upstream on a loopback port that answers its first request once it has read `readBytes` of it, waits until the upload
// stands still, and then resets the connection or closes it with the rest unread.
class EarlyUpstream {
public:
    EarlyUpstream(std::string answer, bool resets, size_t readBytes)
        : m_answer(std::move(answer))
        , m_resets(resets)
        , m_readBytes(readBytes)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Keeps the window small, so that the upload is still being written when the answer arrives.
        int receiveBytes = 4096;
        setsockopt(m_listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 4);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = base::NamedThread("early", [this] { run(); });
    }
    ~EarlyUpstream()
    {
        m_isStopping = true;
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    bool awaitInput(int descriptor) const
    {
        while (!m_isStopping) {
            pollfd entry { descriptor, POLLIN, 0 };
            if (poll(&entry, 1, 10) > 0)
                return true;
        }
        return false;
    }

    void run()
    {
        if (!awaitInput(m_listener.descriptor()))
            return;
        base::FileDescriptor connection(accept(m_listener.descriptor(), nullptr, nullptr));
        if (!awaitInput(connection.descriptor()))
            return;
        char buffer[4096];
        for (size_t read = 0; read < m_readBytes && awaitInput(connection.descriptor());) {
            auto count = recv(connection.descriptor(), buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            read += static_cast<size_t>(count);
        }
        send(connection.descriptor(), m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        if (m_resets) {
            linger value { 1, 0 };
            setsockopt(connection.descriptor(), SOL_SOCKET, SO_LINGER, &value, sizeof value);
        }
        // The reader has the answer, and writes until both sockets are full.
        poll(nullptr, 0, 50);
    }

    const std::string m_answer;
    const bool m_resets;
    const size_t m_readBytes;
    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    base::NamedThread m_thread;
};

} // namespace redwingseam::fakes
