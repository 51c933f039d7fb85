#pragma once

#include "base/FileDescriptor.h"

#include <arpa/inet.h>
#include <array>
#include <string>
#include <sys/socket.h>

namespace redwingseam::fakes {

// An upstream on a loopback port that takes no more connections: what is sent to it is lost, as on a full link.
class UnconnectableUpstream {
public:
    UnconnectableUpstream()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), 0);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        for (auto& filler : m_fillers) {
            filler = base::FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            connect(filler.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    base::FileDescriptor m_listener;
    // They fill the queue of connections that wait to be accepted.
    std::array<base::FileDescriptor, 4> m_fillers;
    uint16_t m_port = 0;
};

} // namespace redwingseam::fakes
