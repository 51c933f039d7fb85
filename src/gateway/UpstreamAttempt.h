#pragma once

#include "forward/EventSplitter.h"
#include "forward/SendParameters.h"
#include "gateway/BufferReservation.h"
#include "gateway/BufferedResponse.h"
#include "gateway/ResponseMetadata.h"

#include <memory>

namespace redwingseam::gateway {

// One attempt of a Session at an upstream: its connection and what has arrived of the response.
template<typename Connection>
struct UpstreamAttempt {
    explicit UpstreamAttempt(BufferBudget& budget)
        : reservation(budget, BufferUse::Response)
    {
    }

    forward::SendParameters parameters;
    base::Instant sentAt {};
    std::unique_ptr<Connection> connection;
    ResponseMetadata metadata;
    BufferedResponse response;
    BufferReservation reservation;
    forward::EventSplitter splitter;
    bool isEventStream = false;
    // Whether the response states where it ends.
    bool hasResponseLength = false;
    // Whether the attempt has brought an event, whether or not it was forwarded.
    bool hasEventContent = false;
    bool isPooledConnection = false;
    // Whether the connection has brought a response to another request.
    bool hasLateResponse = false;
    // Whether the upstream is not read, because the client has too much to read.
    bool isReadingPaused = false;
    bool isFailedProbeLogged = false;
};

} // namespace redwingseam::gateway
