#pragma once

#include "gateway/ClientConnection.h"

#include <vector>

namespace redwingseam::fakes {

// Server side of a ClientConnection in a test: records what the connection reports and answers nothing by itself.
struct RecordingClientServer {
    using Connection = gateway::ClientConnection<RecordingClientServer>;

    gateway::BufferBudget budget { 16 * 1024 * 1024 };
    manifest::ClientLimits limits;
    std::vector<Connection::Request> requests;
    std::vector<unsigned> rejections;
    unsigned disconnects = 0;

    gateway::BufferBudget& buffers() { return budget; }
    template<typename Client>
    bool turnAwayHeavier(const Client&, size_t) { return false; }
    template<typename Client>
    bool disconnectSlowReader(const Client&) { return false; }
    manifest::ClientLimits clientLimits() const { return limits; }
    static base::Duration retryAfter() { return std::chrono::seconds(1); }
    void onRequest(Connection&, Connection::Request request) { requests.push_back(std::move(request)); }
    void onRejected(Connection&, unsigned status, base::ResultCode) { rejections.push_back(status); }
    void onClientDisconnected(Connection&) { ++disconnects; }
};

} // namespace redwingseam::fakes
