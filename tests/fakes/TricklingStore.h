#pragma once

#include "base/FileDescriptor.h"
#include "base/NamedThread.h"

#include <arpa/inet.h>
#include <atomic>
#include <poll.h>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// A store on a loopback port that answers each request with the same body, a piece at a time, as over a slow link.
class TricklingStore {
public:
    TricklingStore(std::string body, size_t pieces, int pauseMillis)
        : m_body(std::move(body))
        , m_pieces(pieces)
        , m_pauseMillis(pauseMillis)
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
        m_thread = base::NamedThread("store", [this] { run(); });
    }
    ~TricklingStore()
    {
        m_isStopping = true;
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    static constexpr int pollMillis = 20;

    void run()
    {
        while (!m_isStopping) {
            pollfd entry { m_listener.descriptor(), POLLIN, 0 };
            if (poll(&entry, 1, pollMillis) > 0)
                respond(base::FileDescriptor(accept(m_listener.descriptor(), nullptr, nullptr)));
        }
    }

    void respond(const base::FileDescriptor& connection) const
    {
        char buffer[4096];
        recv(connection.descriptor(), buffer, sizeof buffer, 0);
        auto write = [&](const std::string& bytes) { return send(connection.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0; };
        write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(m_body.size()) + "\r\n\r\n");
        auto pieceBytes = m_body.size() / m_pieces + 1;
        for (size_t at = 0; at < m_body.size() && !m_isStopping && write(m_body.substr(at, pieceBytes)); at += pieceBytes)
            poll(nullptr, 0, m_pauseMillis);
    }

    std::string m_body;
    size_t m_pieces;
    int m_pauseMillis;
    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    base::NamedThread m_thread;
};

} // namespace redwingseam::fakes
