#pragma once

#include "gateway/ConnectStart.h"
#include "gateway/ConnectionFailure.h"
#include "gateway/EventLoop.h"
#include "gateway/SocketCalls.h"
#include "gateway/WriteBuffer.h"
#include "redwingseam/fleet/UpstreamInstance.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <sys/epoll.h>

namespace redwingseam::gateway {

// One HTTP/1.1 connection to an upstream, for one request at a time. Its owner changes when it is returned
// to the pool and reused. Must be used only on its event loop's thread. A callback may change the owner or
// retire the connection, but the object must live until the current batch of events has been handled.
template<typename Owner>
class UpstreamConnection {
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    UpstreamConnection(EventLoop& loop, fleet::UpstreamInstance instance)
        : m_loop(loop)
        , m_instance(std::move(instance))
    {
    }
    ~UpstreamConnection() { close(); }
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    // Starts to connect. The owner is told of the result in a later turn of the loop.
    ConnectStart connect(base::Instant now);
    // Writes a request once the connection is established. `headers` includes the request line. The response is reported
    // to the owner's callbacks. The owner keeps `body` until the response is complete or the connection closed. `timeout` is the time until the deadline of the request, which must not arrive after it.
    void send(std::string_view headers, std::span<const std::string> body, bool isHeadRequest, base::Duration timeout);
    // What the upstream has not received of a request that waits for its response is not sent any more.
    void close();
    // Must be called at short intervals while a response is awaited.
    void tick(base::Instant now);

    void setOwner(Owner* owner) { m_owner = owner; }
    const fleet::UpstreamInstance& instance() const { return m_instance; }
    bool isConnected() const { return m_isConnected; }
    bool isOpen() const { return m_socket.isOpen(); }
    base::Instant connectStartedAt() const { return m_connectStartedAt; }
    // Whether another request may be sent on this connection.
    bool isReusable() const { return isOpen() && m_isConnected && m_canReuse; }
    // Whether the idle connection has received bytes, or its end, that have not been read yet. Such bytes belong to no
    // request that is still to be sent.
    bool hasUnreadInput() const { return hasPendingInput(m_socket.descriptor()); }
    // Stops or continues to read the response, so that a client that reads slowly limits what is buffered for it.
    void setReadingPaused(bool);
    base::Instant idleSince() const { return m_idleSince; }
    base::Duration idleTimeout() const { return m_idleTimeout; }
    void markIdle(base::Instant now, base::Duration timeout)
    {
        m_idleSince = now;
        m_idleTimeout = timeout;
    }
    // Discards the response that is being read and reads the next one on this connection.
    void skipResponse() { m_isSkipping = true; }

private:
    static constexpr uint32_t maxResponseHeaderBytes = 24 * 1024;
    // The parser needs the headers in one piece.
    static constexpr size_t maxBufferedBytes = maxResponseHeaderBytes + 8 * 1024;
    // A stated length of more than this is damage. The parser reserves memory for the whole body.
    static constexpr uint64_t maxStatedBytes = 64 * 1024 * 1024;
    // Interim (1xx) responses before one response.
    static constexpr unsigned maxInterimResponses = 8;
    // Late responses to earlier requests that are skipped before one response, and the size of their bodies.
    static constexpr unsigned maxSkippedResponses = 2;
    static constexpr size_t maxSkippedBytes = 256 * 1024;

    // A connection that acknowledges nothing of a request for this long is dead, though the upstream may accept others.
    static constexpr base::Duration firstAcknowledgementTimeout = std::chrono::seconds(4);
    // Time after which a request that the upstream has begun to read may take until its deadline.
    static constexpr base::Duration acknowledgementCheckDelay = std::chrono::seconds(1);

    static void onEvents(void* self, uint32_t events) { static_cast<UpstreamConnection*>(self)->handle(events); }
    static void onDeferred(void* self, uint32_t) { static_cast<UpstreamConnection*>(self)->fail(ConnectionFailure::NotConnected); }
    void handle(uint32_t events);
    bool finishConnect();
    void flush();
    void read();
    void parse(ReadStatus);
    // Returns false once the connection has closed or changed its owner.
    bool parseNext();
    // Whether the status is one that HTTP knows.
    bool isStatusSound() const;
    // Whether the length of the response is beyond doubt and may be true.
    bool isFramingSound() const;
    bool forwardBody();
    bool finishResponse();
    void handleEof(ReadStatus);
    void fail(ConnectionFailure);
    void beginResponse();
    void updateInterest();
    // Counts a response that is not the awaited one. Returns false if there are too many, which fails the connection.
    bool countUnawaitedResponse(unsigned& count, unsigned limit);

    EventLoop& m_loop;
    fleet::UpstreamInstance m_instance;
    Owner* m_owner = nullptr;
    base::FileDescriptor m_socket;
    EventHandler m_eventHandler;
    EventHandler m_deferredHandler { this, &UpstreamConnection::onDeferred };
    WriteBuffer m_writeBuffer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    base::Instant m_connectStartedAt {};
    base::Instant m_idleSince {};
    base::Duration m_idleTimeout {};
    base::Instant m_sentAt {};
    base::Duration m_requestTimeout {};
    size_t m_requestBytes = 0;
    bool m_isConnected = false;
    bool m_canReuse = true;
    bool m_isHeadRequest = false;
    bool m_areHeadersReceived = false;
    bool m_isSkipping = false;
    bool m_hasResponseBytes = false;
    bool m_isEofReceived = false;
    // Whether the connection failed while the request was written.
    bool m_isRequestCutOff = false;
    bool m_isReadingPaused = false;
    unsigned m_interimResponses = 0;
    unsigned m_skippedResponses = 0;
    size_t m_skippedBytes = 0;
};

} // namespace redwingseam::gateway

#include "gateway/UpstreamConnectionImpl.h"
