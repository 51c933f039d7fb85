#pragma once

#include "base/FileDescriptor.h"
#include "base/NamedThread.h"
#include "redwingseam/base/Mutex.h"

#include <arpa/inet.h>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace redwingseam::fakes {

// Response of a ScriptedUpstream to one request.
struct ScriptedResponse {
    std::string bytes;
    // Closes the connection after sending `bytes`.
    bool closesConnection = false;
    // Resets the connection after sending `bytes`.
    bool resetsConnection = false;
};

// An upstream on a loopback port that sends the given responses in the order in which requests arrive
// on any connection, and records the requests. `$ID` in a response is replaced by the attempt id of the
// request. Requests beyond the last response get no reply.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(std::vector<ScriptedResponse> responses)
        : m_responses(std::move(responses))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 16);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = base::NamedThread("upstream", [this] { run(); });
    }
    ~ScriptedUpstream()
    {
        {
            std::lock_guard guard(m_mutex);
            m_isStopping = true;
        }
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::vector<std::string> requests()
    {
        std::lock_guard guard(m_mutex);
        return m_requests;
    }
    // Number of accepted connections.
    size_t acceptedConnections()
    {
        std::lock_guard guard(m_mutex);
        return m_acceptedCount;
    }
    // Number of connections that the peer has closed.
    size_t closedConnections()
    {
        std::lock_guard guard(m_mutex);
        return m_closedCount;
    }

private:
    struct Connection {
        base::FileDescriptor socket;
        std::string input;
    };

    bool isStopping()
    {
        std::lock_guard guard(m_mutex);
        return m_isStopping;
    }

    void run()
    {
        while (!isStopping()) {
            std::vector<pollfd> pollEntries { { m_listener.descriptor(), POLLIN, 0 } };
            for (const auto& connection : m_connections)
                pollEntries.push_back({ connection.socket.descriptor(), POLLIN, 0 });
            poll(pollEntries.data(), pollEntries.size(), 5);
            for (size_t i = m_connections.size(); i > 0; --i) {
                if (pollEntries[i].revents)
                    readFrom(i - 1);
            }
            if (pollEntries[0].revents)
                acceptOne();
        }
    }

    void acceptOne()
    {
        m_connections.push_back({ base::FileDescriptor(accept(m_listener.descriptor(), nullptr, nullptr)), {} });
        std::lock_guard guard(m_mutex);
        ++m_acceptedCount;
    }

    void readFrom(size_t index)
    {
        char buffer[65536];
        auto count = recv(m_connections[index].socket.descriptor(), buffer, sizeof buffer, 0);
        if (count <= 0) {
            m_connections.erase(m_connections.begin() + static_cast<long>(index));
            std::lock_guard guard(m_mutex);
            ++m_closedCount;
            return;
        }
        m_connections[index].input.append(buffer, static_cast<size_t>(count));
        respondIfComplete(index);
    }

    void respondIfComplete(size_t index)
    {
        auto& input = m_connections[index].input;
        auto headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        auto total = headEnd + 4 + contentLength(input.substr(0, headEnd));
        if (input.size() < total)
            return;
        auto request = input.substr(0, total);
        input.erase(0, total);
        ScriptedResponse response;
        {
            std::lock_guard guard(m_mutex);
            if (m_requests.size() < m_responses.size())
                response = m_responses[m_requests.size()];
            m_requests.push_back(request);
        }
        auto id = headerValue(request, "Redwingseam-Attempt-Id: ");
        for (auto at = response.bytes.find("$ID"); at != std::string::npos; at = response.bytes.find("$ID"))
            response.bytes.replace(at, 3, id);
        auto descriptor = m_connections[index].socket.descriptor();
        send(descriptor, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
        if (response.resetsConnection) {
            linger immediateReset { 1, 0 };
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediateReset, sizeof immediateReset);
        }
        if (response.closesConnection || response.resetsConnection)
            m_connections.erase(m_connections.begin() + static_cast<long>(index));
    }

    static std::string headerValue(const std::string& head, const std::string& name)
    {
        auto at = head.find(name);
        if (at == std::string::npos)
            return {};
        auto begin = at + name.size();
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static size_t contentLength(const std::string& head)
    {
        auto value = headerValue(head + "\r\n", "Content-Length: ");
        return value.empty() ? 0 : std::stoul(value);
    }

    std::vector<ScriptedResponse> m_responses;
    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    base::Mutex m_mutex;
    bool m_isStopping = false;
    std::vector<std::string> m_requests;
    size_t m_acceptedCount = 0;
    size_t m_closedCount = 0;
    std::vector<Connection> m_connections;
    base::NamedThread m_thread;
};

} // namespace redwingseam::fakes
