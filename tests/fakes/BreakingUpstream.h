#pragma once

#include "base/FileDescriptor.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace redwingseam::fakes {

// An upstream on a loopback port that serves several connections from the test's own thread and loses all of them at once.
class BreakingUpstream {
public:
    BreakingUpstream()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 128);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    // Reads requests until `count` connections have brought more than `bytes` each. Returns false if nothing arrives for a
    // while.
    bool readRequests(size_t count, size_t bytes)
    {
        while (completeRequests(bytes) < count) {
            std::vector<pollfd> entries { { m_listener.descriptor(), POLLIN, 0 } };
            for (const auto& connection : m_connections)
                entries.push_back({ connection.socket.descriptor(), POLLIN, 0 });
            if (poll(entries.data(), entries.size(), timeoutMillis) <= 0)
                return false;
            for (size_t i = 0; i < m_connections.size(); ++i) {
                if (entries[i + 1].revents)
                    readFrom(m_connections[i]);
            }
            std::erase_if(m_connections, [](const Connection& connection) { return !connection.socket.isOpen(); });
            if (entries[0].revents)
                m_connections.push_back({ base::FileDescriptor(accept(m_listener.descriptor(), nullptr, nullptr)), 0 });
        }
        return true;
    }

    void respondToAll(const std::string& bytes) const
    {
        for (const auto& connection : m_connections)
            send(connection.socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Loses all connections and refuses further ones.
    void breakAll()
    {
        m_listener = {};
        m_connections.clear();
    }

private:
    struct Connection {
        base::FileDescriptor socket;
        size_t receivedBytes = 0;
    };

    static constexpr int timeoutMillis = 3000;

    size_t completeRequests(size_t bytes) const
    {
        size_t count = 0;
        for (const auto& connection : m_connections)
            count += connection.receivedBytes > bytes;
        return count;
    }

    // Closes a connection that its peer has closed, such as a probe.
    static void readFrom(Connection& connection)
    {
        char buffer[65536];
        auto count = recv(connection.socket.descriptor(), buffer, sizeof buffer, 0);
        if (count > 0)
            connection.receivedBytes += static_cast<size_t>(count);
        else
            connection.socket = {};
    }

    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    std::vector<Connection> m_connections;
};

} // namespace redwingseam::fakes
