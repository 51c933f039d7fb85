#pragma once

#include "gateway/UpstreamConnection.h"

#include <optional>
#include <string>

namespace redwingseam::fakes {

// Owner of an upstream connection that records what the connection reports.
struct RecordingUpstreamOwner {
    using Connection = gateway::UpstreamConnection<RecordingUpstreamOwner>;

    void onUpstreamConnected(Connection&) { isConnected = true; }
    void onUpstreamHeaders(Connection& connection, const boost::beast::http::fields& headers, bool)
    {
        ++heads;
        if (headers.count("Late"))
            connection.skipResponse();
        else
            ++awaitedHeads;
    }
    void onUpstreamBody(Connection&, std::string_view bytes) { body.append(bytes); }
    void onUpstreamComplete(Connection&) { ++completions; }
    void onUpstreamFailure(Connection&, gateway::ConnectionFailure kind)
    {
        ++failures;
        failure = kind;
    }
    bool isEnded() const { return completions || failures; }

    bool isConnected = false;
    unsigned heads = 0;
    // Heads that are not those of late responses, which have the field `Late`.
    unsigned awaitedHeads = 0;
    unsigned completions = 0;
    unsigned failures = 0;
    std::optional<gateway::ConnectionFailure> failure;
    std::string body;
};

} // namespace redwingseam::fakes
