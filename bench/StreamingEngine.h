#pragma once

#include "fakes/GatewayFixture.h"

#include <string>
#include <vector>

namespace redwingseam::bench {

// Upstream on a loopback port that sends the events of its open streams one by one, like an engine.
class StreamingEngine {
public:
    StreamingEngine()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_listener.descriptor(), SOMAXCONN);
        socklen_t length = sizeof address;
        getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    // Accepts the next request and sends the head and the first event of its response.
    void acceptStream()
    {
        base::FileDescriptor stream(accept(m_listener.descriptor(), nullptr, nullptr));
        auto request = fakes::GatewayFixture::read(stream, "\r\n\r\n");
        static constexpr std::string_view name = "Redwingseam-Attempt-Id: ";
        auto at = request.find(name) + name.size();
        auto head = fakes::GatewayFixture::streamHead();
        head.replace(head.find("$ID"), 3, request.substr(at, request.find('\r', at) - at));
        fakes::GatewayFixture::write(stream, head + fakes::GatewayFixture::event(1));
        m_streams.push_back(std::move(stream));
    }

    void sendEvent(unsigned id)
    {
        for (const auto& stream : m_streams)
            fakes::GatewayFixture::write(stream, fakes::GatewayFixture::event(id));
    }

private:
    base::FileDescriptor m_listener;
    uint16_t m_port = 0;
    std::vector<base::FileDescriptor> m_streams;
};

} // namespace redwingseam::bench
