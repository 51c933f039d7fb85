#pragma once

#include "base/FileDescriptor.h"

#include <arpa/inet.h>
#include <chrono>
#include <poll.h>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// An upstream on a loopback port whose responses the test sends step by step from its own thread. Serves one connection
// at a time.
class ManualUpstream {
public:
    ManualUpstream()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 16);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    // Accepts a connection and reads from it until the headers of a request are complete. Returns what was read.
    std::string acceptRequest()
    {
        std::string received;
        if (!isReadable(m_listener))
            return received;
        m_connection = base::FileDescriptor(accept(m_listener.descriptor(), nullptr, nullptr));
        char buffer[4096];
        while (received.find("\r\n\r\n") == std::string::npos && isReadable(m_connection)) {
            auto count = recv(m_connection.descriptor(), buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            received.append(buffer, static_cast<size_t>(count));
        }
        return received;
    }

    // Reads what the connection still brings until it ends or nothing arrives for a while. Returns the number of bytes.
    size_t readRest()
    {
        size_t bytes = 0;
        std::string buffer(64 * 1024, '\0');
        while (isReadable(m_connection)) {
            auto count = recv(m_connection.descriptor(), buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            bytes += static_cast<size_t>(count);
        }
        return bytes;
    }

    // `$ID` stands for the attempt id of the fixture's requests.
    void respond(std::string bytes) const
    {
        static const std::string placeholder = "$ID";
        auto at = bytes.find(placeholder);
        if (at != std::string::npos)
            bytes.replace(at, placeholder.size(), "a1");
        send(m_connection.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void closeConnection() { m_connection = {}; }
    // Refuses further connections.
    void stopListening() { m_listener = {}; }
    // Returns whether the peer closes the connection within `duration`. It must send nothing meanwhile.
    bool isClosedWithin(std::chrono::milliseconds duration) const
    {
        pollfd entry { m_connection.descriptor(), POLLIN | POLLRDHUP, 0 };
        return poll(&entry, 1, static_cast<int>(duration.count())) > 0;
    }

private:
    static constexpr int timeoutMillis = 3000;

    static bool isReadable(const base::FileDescriptor& socket)
    {
        pollfd entry { socket.descriptor(), POLLIN, 0 };
        return poll(&entry, 1, timeoutMillis) > 0;
    }

    base::FileDescriptor m_listener;
    base::FileDescriptor m_connection;
    uint16_t m_port = 0;
};

} // namespace redwingseam::fakes
