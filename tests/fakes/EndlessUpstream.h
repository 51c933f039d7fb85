#pragma once

#include "base/FileDescriptor.h"
#include "base/NamedThread.h"

#include <arpa/inet.h>
#include <atomic>
#include <list>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace redwingseam::fakes {

// An upstream on a loopback port that answers each connection's first bytes with `prefix` and then repeats `pattern`
// until the peer closes the connection.
class EndlessUpstream {
public:
    EndlessUpstream(std::string prefix, const std::string& pattern)
        : m_prefix(std::move(prefix))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        while (m_block.size() < blockBytes)
            m_block += pattern;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 256);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = base::NamedThread("endless", [this] { run(); });
    }
    ~EndlessUpstream()
    {
        m_isStopping = true;
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint64_t sentBytes() const { return m_sentBytes; }
    unsigned requests() const { return m_requests; }
    unsigned openConnections() const { return m_openConnections; }

private:
    static constexpr size_t blockBytes = 16 * 1024;

    struct Connection {
        base::FileDescriptor socket;
        bool hasRequest = false;
    };

    void run()
    {
        while (!m_isStopping) {
            std::vector<pollfd> entries { { m_listener.descriptor(), POLLIN, 0 } };
            for (const auto& connection : m_connections)
                entries.push_back({ connection.socket.descriptor(), static_cast<short>(connection.hasRequest ? POLLOUT : POLLIN), 0 });
            poll(entries.data(), entries.size(), 5);
            size_t index = 0;
            for (auto connection = m_connections.begin(); connection != m_connections.end();) {
                bool isOpen = !entries[++index].revents || serve(*connection);
                connection = isOpen ? std::next(connection) : m_connections.erase(connection);
            }
            m_openConnections = static_cast<unsigned>(m_connections.size());
            if (entries[0].revents)
                m_connections.push_back({ base::FileDescriptor(accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) });
        }
    }

    bool serve(Connection& connection)
    {
        if (connection.hasRequest)
            return sendBytes(connection, m_block);
        char buffer[4096];
        auto count = recv(connection.socket.descriptor(), buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        connection.hasRequest = true;
        ++m_requests;
        auto prefix = m_prefix;
        std::string request(buffer, static_cast<size_t>(count));
        static const std::string idHeader = "Redwingseam-Attempt-Id: ";
        auto at = request.find(idHeader);
        if (auto mark = prefix.find("$ID"); mark != std::string::npos && at != std::string::npos)
            prefix.replace(mark, 3, request.substr(at + idHeader.size(), request.find("\r\n", at) - at - idHeader.size()));
        return sendBytes(connection, prefix);
    }

    // A partial write is accepted, since what follows is a repetition anyway.
    bool sendBytes(Connection& connection, const std::string& bytes)
    {
        if (bytes.empty())
            return true;
        auto count = send(connection.socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN;
        m_sentBytes += static_cast<uint64_t>(count);
        return true;
    }

    std::string m_prefix;
    std::string m_block;
    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<uint64_t> m_sentBytes { 0 };
    std::atomic<unsigned> m_requests { 0 };
    std::atomic<unsigned> m_openConnections { 0 };
    std::list<Connection> m_connections;
    base::NamedThread m_thread;
};

} // namespace redwingseam::fakes
