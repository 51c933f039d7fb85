#pragma once

#include "gateway/ClientConnection.h"

namespace redwingseam::fakes {

// Server side of a ClientConnection in a test that answers each request while it is reported.
struct AnsweringClientServer {
    using Connection = gateway::ClientConnection<AnsweringClientServer>;

    gateway::BufferBudget budget { 16 * 1024 * 1024 };
    manifest::ClientLimits limits;
    unsigned served = 0;
    std::string body;
    unsigned disconnects = 0;

    gateway::BufferBudget& buffers() { return budget; }
    template<typename Client>
    bool turnAwayHeavier(const Client&, size_t) { return false; }
    template<typename Client>
    bool disconnectSlowReader(const Client&) { return false; }
    manifest::ClientLimits clientLimits() const { return limits; }
    static base::Duration retryAfter() { return std::chrono::seconds(1); }
    void onRequest(Connection& connection, Connection::Request)
    {
        ++served;
        connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        connection.finishResponse(true, base::BootClock {}.now());
    }
    void onRejected(Connection&, unsigned, base::ResultCode) { }
    void onClientDisconnected(Connection&) { ++disconnects; }
};

} // namespace redwingseam::fakes
