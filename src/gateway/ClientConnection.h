#pragma once

#include "gateway/BufferReservation.h"
#include "gateway/EventLoop.h"
#include "gateway/ReceiveWindow.h"
#include "gateway/RequestBodyFormat.h"
#include "gateway/SocketCalls.h"
#include "gateway/TransferProgress.h"
#include "gateway/WriteBuffer.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/manifest/ClientLimits.h"

#include <boost/beast/http/parser.hpp>
#include <optional>
#include <sys/epoll.h>

namespace redwingseam::gateway {

// HTTP/1.1 server side of one client connection. Reads a request, passes it to the server, writes the
// response, and continues with the next request. Must be used only on its event loop's thread.
template<typename Server>
class ClientConnection {
public:
    using Request = boost::beast::http::request<RequestBodyFormat>;

    ClientConnection(EventLoop&, Server&, base::FileDescriptor, base::Instant now);
    ~ClientConnection() { close(); }
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Returns the idle time to announce to the client in the headers of the current response. The connection stays open
    // for longer than that, so that a request which the client sends at the last moment still arrives in time.
    base::Duration announceIdleTimeout();
    // Appends bytes to the current response.
    void write(std::string_view);
    // Marks the current response as complete. The connection continues with the next request, in the next turn of the loop
    // if that has arrived already. If `keepsAlive` is false, it
    // sends no more and closes once the client has closed its side, or has sent nothing for a moment.
    void finishResponse(bool keepsAlive, base::Instant now);
    // Closes the connection immediately, so that the client sees a truncated response if one is in progress, and reports
    // it to the server.
    void disconnect();

    bool isOpen() const { return m_socket.isOpen(); }
    // Returns the size of the response bytes that the client has not accepted yet.
    size_t pendingBytes() const { return m_writeBuffer.size(); }
    // Whether a request has been read whose response is not complete.
    bool isServing() const { return m_isServing; }
    // Whether the last response has been written and no byte of another request has arrived.
    bool isIdle() const { return !m_isServing && !m_isClosing && !m_hasRequestBytes && !m_isParseDeferred && m_writeBuffer.isEmpty(); }
    // Returns the size of the buffers that were reserved for this client.
    size_t heldBytes() const { return m_headReservation.bytes() + m_inputReservation.bytes() + m_outputReservation.bytes() + m_bodyReservation.bytes() + m_receiveWindow.reservedBytes(); }
    // Whether a request has begun to arrive, and little or nothing of it came of late.
    bool isStalled(base::Instant now) const { return !m_isServing && !m_isClosing && m_hasRequestBytes && m_inputProgress.isStalled(now); }
    // Refuses the request that has begun to arrive, because the memory is needed for others.
    void turnAway() { reject(503, base::ResultCode::BuffersExhausted); }
    // Whether the client has something to read, and took little or nothing of it of late.
    bool isReadingSlowly(base::Instant now) const { return isOpen() && !m_writeBuffer.isEmpty() && m_outputProgress.isStalled(now); }
    // Closes the connection in the middle of what the client reads slowly, because the memory is needed for others.
    void cutOff();
    // Whether bytes of the client, or the end of its input, wait to be read.
    bool hasUnreadInput() const { return hasPendingInput(m_socket.descriptor()); }
    // Closes the connection if the client takes too long to send a request, after a response with status 408 if a part of
    // it has arrived.
    void tick(base::Instant now);

private:
    using Parser = boost::beast::http::request_parser<RequestBodyFormat>;

    // Limit on the pipelined bytes that are buffered while a request is being served.
    static constexpr size_t maxReadAhead = 64 * 1024;
    static constexpr size_t minBufferedBytes = 32 * 1024;
    // Input that a client sends ahead, and that is kept even if there is no memory.
    static constexpr size_t usualUnreadBytes = 8 * 1024;
    // A client that leaves more than this of its responses unread gets no further ones until it has read half of it.
    static constexpr size_t maxPendingResponseBytes = 64 * 1024;
    static constexpr double announcedIdleShare = 0.8;
    // Time allowed for the client's input after the last response. Its next bytes may take the idle timeout, but at least this.
    static constexpr base::Duration lingerTimeout = std::chrono::seconds(3);
    // A client that sends nothing for this long after the last response has seen its end.
    static constexpr base::Duration lingerQuietTime = std::chrono::seconds(1);
    // Input after the last response is discarded in pieces of this size.
    static constexpr size_t discardedPieceBytes = 8 * 1024;
    static constexpr size_t maxDiscardedBytes = 16 * 1024 * 1024;

    static void onEvents(void* self, uint32_t events) { static_cast<ClientConnection*>(self)->handle(events); }
    static void onDeferred(void* self, uint32_t) { static_cast<ClientConnection*>(self)->continueParsing(); }
    void handle(uint32_t events);
    void continueParsing();
    void close();
    // Disconnects a client whose connection has ended: with an error, or by its own close if `error` is 0.
    void endConnection(int error);
    void flush();
    void read();
    void parse();
    size_t put(boost::beast::error_code&);
    // Whether the headers of the current request have arrived. Until then they are kept as they came, because parsed ones take
    // many times as much memory.
    bool areHeadersComplete();
    // Keeps input that the parser needs more of, in no more memory than it takes. Returns false if there is none, and the
    // request was refused.
    bool keepRemainingInput();
    // Keeps what came of further requests in the same read as the end of this one, or discards it if there is no memory.
    void keepSentAhead();
    // Releases what the parser has consumed, and what was prepared for input that did not come.
    void releaseConsumedInput() { m_buffer.shrink_to_fit(); }
    // Reserves memory for headers that take `bytes`. Those of ordinary requests always find room. Returns false if there is
    // none, also from clients that hold more and make no progress.
    bool reserveHead(size_t bytes);
    // Reserves memory for a part of an ordinary request in any case. If there is none, requests that make no progress are refused.
    void reserveOrdinary(BufferReservation&, size_t bytes);
    void recordOutput(size_t bytes);
    // Counts the responses that the client has not read. If there is no memory for them, clients that read slowly are cut off.
    void countPendingResponses();
    // Checks the headers of the current request once they are complete. Returns false if it rejects them.
    bool acceptHeaders();
    Request takeRequest();
    void beginRequest();
    // Applies the newest limits to the request whose first byte has arrived.
    void applyLimits();
    bool isIdleTooLong(base::Duration waited) const { return waited > m_idleTimeout && waited > m_server.clientLimits().idleTimeout; }
    void reject(unsigned status, base::ResultCode);
    // Sends the end of the output. Closing the socket at once would reset the connection if the client is still sending,
    // and the reset would destroy what the client has not read.
    void shutDownSending();
    void discardInput();
    void tickClosing(base::Instant now);
    // Reserves memory for what the system receives while this connection is not read. Returns false if there is none and much
    // has been received already.
    bool reserveUnreadInput();
    // Discards what the client sends ahead. The connection closes after the current response, so that the client sends the rest again.
    void startDiscarding();
    void logUnreadClose() const;
    bool reserveBody();
    void logIdleClose(base::Duration waited) const;
    void logFailure(int error) const;
    // The parser needs the headers in one piece.
    size_t maxBufferedBytes() const { return std::max<size_t>(minBufferedBytes, m_limits.maxHeaderBytes); }
    void updateInterest(uint32_t events);
    void watchInput();
    // Continues with what the buffer holds, in the next turn of the loop.
    void deferParsing();

    EventLoop& m_loop;
    Server& m_server;
    base::FileDescriptor m_socket;
    // The limits in force when the current request began.
    manifest::ClientLimits m_limits;
    // The idle timeout that the client was last told. It may still go by it after it was lowered.
    base::Duration m_idleTimeout {};
    EventHandler m_eventHandler;
    EventHandler m_deferredHandler;
    uint32_t m_interestEvents = EPOLLIN;
    WriteBuffer m_writeBuffer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    // The headers of a request in chunks, whose parser adds the fields of the trailer to them.
    std::optional<Request::header_type> m_chunkedHeaders;
    BufferReservation m_headReservation;
    BufferReservation m_inputReservation;
    BufferReservation m_outputReservation;
    BufferReservation m_bodyReservation;
    ReceiveWindow m_receiveWindow;
    // What the headers of the current request take, once they are parsed.
    size_t m_headBytes = 0;
    // How much of the buffer was searched for the end of the headers.
    size_t m_searchedBytes = 0;
    bool m_isServing = false;
    bool m_hasRequestBytes = false;
    bool m_isContinueSent = false;
    bool m_areHeadersAccepted = false;
    // The buffer may hold requests, and the next turn of the loop parses them.
    bool m_isParseDeferred = false;
    // The client does not read its responses, so its requests are not read.
    bool m_isInputPaused = false;
    // The responses that clients do not read take too much memory for more of them.
    bool m_isOutputOverBudget = false;
    // The client sends ahead, and its input is not read until the response is complete.
    bool m_isReadAheadPaused = false;
    // What the client sends ahead is discarded, and the connection closes after the current response.
    bool m_isInputDiscarded = false;
    // The last response is complete; further input is discarded.
    bool m_isClosing = false;
    bool m_isSendingShutDown = false;
    size_t m_discardedBytes = 0;
    // When the connection was accepted, the first byte of the current request arrived, the last response was complete,
    // bytes of it were accepted after that, or the sending side was shut down, whichever is the latest.
    base::Instant m_phaseStartedAt {};
    base::Instant m_lastInputAt {};
    TransferProgress m_inputProgress;
    TransferProgress m_outputProgress;
};

} // namespace redwingseam::gateway

#include "gateway/ClientConnectionImpl.h"
