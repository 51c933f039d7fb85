#pragma once

#include "base/FileDescriptor.h"

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// A loopback port at which every connection is refused, as by an upstream that has crashed and is still listed.
class RefusingUpstream {
public:
    RefusingUpstream()
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(m_socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    base::FileDescriptor m_socket;
    uint16_t m_port = 0;
};

} // namespace redwingseam::fakes
