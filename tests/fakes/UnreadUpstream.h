#pragma once

#include "base/FileDescriptor.h"

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// An upstream on a loopback port whose connections are established and never read, as over a full link.
class UnreadUpstream {
public:
    UnreadUpstream()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        setsockopt(m_listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 512);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    static constexpr int receiveBufferBytes = 4096;

    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
};

} // namespace redwingseam::fakes
