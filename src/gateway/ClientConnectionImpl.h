#pragma once

#include "base/ScaledDuration.h"
#include "gateway/ClientConnection.h"
#include "gateway/HeadCost.h"
#include "gateway/HeaderUtils.h"
#include "gateway/LocalResponse.h"
#include "gateway/MessageFraming.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"

#include <cerrno>
#include <glog/logging.h>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>

namespace redwingseam::gateway {

template<typename Server>
ClientConnection<Server>::ClientConnection(EventLoop& loop, Server& server, base::FileDescriptor socket, base::Instant now)
    : m_loop(loop)
    , m_server(server)
    , m_socket(std::move(socket))
    , m_limits(server.clientLimits())
    , m_idleTimeout(m_limits.idleTimeout)
    , m_eventHandler { this, &ClientConnection::onEvents }
    , m_deferredHandler { this, &ClientConnection::onDeferred }
    , m_headReservation(server.buffers(), BufferUse::Head)
    , m_inputReservation(server.buffers(), BufferUse::ReadAhead)
    , m_outputReservation(server.buffers(), BufferUse::UnreadResponse)
    , m_bodyReservation(server.buffers(), BufferUse::Request)
    , m_receiveWindow(server.buffers(), m_socket.descriptor())
    , m_phaseStartedAt(now)
{
    beginRequest();
    m_loop.add(m_socket.descriptor(), m_eventHandler, m_interestEvents);
}

template<typename Server>
void ClientConnection<Server>::beginRequest()
{
    m_parser.emplace();
    m_bodyReservation.reset();
    m_headReservation.reset();
    m_headBytes = 0;
    m_searchedBytes = 0;
    m_chunkedHeaders.reset();
    m_hasRequestBytes = false;
    m_isContinueSent = false;
    m_areHeadersAccepted = false;
}

template<typename Server>
void ClientConnection<Server>::applyLimits()
{
    m_limits = m_server.clientLimits();
    m_parser->header_limit(m_limits.maxHeaderBytes);
    m_parser->body_limit(m_limits.maxBodyBytes);
}

template<typename Server>
void ClientConnection<Server>::close()
{
    if (!m_socket.isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    m_loop.cancelDeferred(m_deferredHandler);
    m_isParseDeferred = false;
    m_socket = {};
}

template<typename Server>
void ClientConnection<Server>::disconnect()
{
    close();
    m_server.onClientDisconnected(*this);
}

template<typename Server>
void ClientConnection<Server>::endConnection(int error)
{
    if (error && m_isServing)
        logFailure(error);
    disconnect();
}

template<typename Server>
void ClientConnection<Server>::updateInterest(uint32_t events)
{
    if (events == m_interestEvents)
        return;
    m_interestEvents = events;
    m_loop.change(m_socket.descriptor(), m_eventHandler, events);
}

template<typename Server>
void ClientConnection<Server>::watchInput()
{
    uint32_t events = m_isInputPaused ? EPOLLRDHUP : EPOLLIN;
    updateInterest(m_writeBuffer.isEmpty() ? events : events | EPOLLOUT);
}

template<typename Server>
void ClientConnection<Server>::handle(uint32_t events)
{
    if (isOpen() && (events & EPOLLOUT))
        flush();
    if (isOpen() && (events & EPOLLRDHUP)) {
        endConnection(socketError(m_socket.descriptor()));
        return;
    }
    if (isOpen() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
        read();
}

template<typename Server>
void ClientConnection<Server>::flush()
{
    auto pendingBefore = m_writeBuffer.size();
    if (!m_writeBuffer.flush(m_socket.descriptor())) {
        endConnection(errno);
        return;
    }
    recordOutput(pendingBefore - m_writeBuffer.size());
    countPendingResponses();
    // The client is not idle while it reads the response.
    bool isResponseComplete = !m_isServing && !m_hasRequestBytes;
    if (isResponseComplete && m_writeBuffer.size() < pendingBefore)
        m_phaseStartedAt = base::BootClock {}.now();
    if (m_writeBuffer.isEmpty() && m_isClosing && !m_isSendingShutDown)
        shutDownSending();
    if (m_isInputPaused && m_writeBuffer.size() <= maxPendingResponseBytes / 2 && !m_isOutputOverBudget) {
        m_isInputPaused = false;
        if (!m_buffer.size())
            m_inputReservation.reset();
        deferParsing();
    }
    watchInput();
}

template<typename Server>
void ClientConnection<Server>::read()
{
    if (m_isClosing || m_isInputDiscarded) {
        discardInput();
        return;
    }
    bool mayReadAhead = !m_isServing || m_inputReservation.growTo(maxReadAhead);
    auto maxBytes = m_isServing ? maxReadAhead : maxBufferedBytes();
    auto bytesBefore = m_buffer.size();
    auto status = mayReadAhead ? readInto(m_socket.descriptor(), m_buffer, maxBytes) : ReadStatus::Open;
    if (status != ReadStatus::Open) {
        endConnection(status == ReadStatus::Reset ? errno : 0);
        return;
    }
    m_lastInputAt = base::BootClock {}.now();
    m_inputProgress.record(m_buffer.size() - bytesBefore, m_lastInputAt);
    if (m_isServing && (!mayReadAhead || m_buffer.size() >= maxReadAhead)) {
        if (!reserveUnreadInput()) {
            startDiscarding();
            return;
        }
        // The read-ahead buffer is full, or there is no memory for one, so only the end of the connection is watched until the response is
        // complete.
        m_isReadAheadPaused = true;
        updateInterest(m_writeBuffer.isEmpty() ? EPOLLRDHUP : EPOLLRDHUP | EPOLLOUT);
        return;
    }
    if (!m_isServing && !m_isParseDeferred)
        parse();
}

template<typename Server>
bool ClientConnection<Server>::reserveUnreadInput()
{
    auto descriptor = m_socket.descriptor();
    return unreadBytes(descriptor) <= usualUnreadBytes || m_inputReservation.growTo(maxReadAhead + receiveBufferBytes(descriptor));
}

template<typename Server>
void ClientConnection<Server>::startDiscarding()
{
    m_isInputDiscarded = true;
    m_isReadAheadPaused = false;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_inputReservation.reset();
    log::LogLine line("sent_ahead_discarded");
    line.with("buffered_bytes", m_server.buffers().usedBytes());
    LOG(WARNING) << line.text();
    watchInput();
}

template<typename Server>
void ClientConnection<Server>::continueParsing()
{
    m_isParseDeferred = false;
    parse();
}

template<typename Server>
void ClientConnection<Server>::shutDownSending()
{
    m_isSendingShutDown = true;
    m_phaseStartedAt = base::BootClock {}.now();
    m_lastInputAt = m_phaseStartedAt;
    // If this fails, the next read reports the error.
    ::shutdown(m_socket.descriptor(), SHUT_WR);
}

template<typename Server>
void ClientConnection<Server>::discardInput()
{
    // What is left is discarded in the next turn of the loop.
    for (size_t discarded = 0; discarded < minBufferedBytes; discarded += discardedPieceBytes) {
        auto status = readInto(m_socket.descriptor(), m_buffer, discardedPieceBytes);
        if (status != ReadStatus::Open) {
            endConnection(status == ReadStatus::Reset ? errno : 0);
            return;
        }
        if (!m_buffer.size())
            return;
        m_lastInputAt = base::BootClock {}.now();
        m_discardedBytes += m_buffer.size();
        m_buffer.clear();
        m_receiveWindow.widenFor(m_discardedBytes);
        if (m_discardedBytes > maxDiscardedBytes) {
            disconnect();
            return;
        }
    }
}

template<typename Server>
void ClientConnection<Server>::parse()
{
    namespace http = boost::beast::http;
    while (m_buffer.size()) {
        if (!m_hasRequestBytes) {
            m_hasRequestBytes = true;
            m_phaseStartedAt = base::BootClock {}.now();
            m_inputProgress.reset(m_phaseStartedAt);
            m_inputProgress.record(m_buffer.size(), m_phaseStartedAt);
            applyLimits();
        }
        if (!areHeadersComplete()) {
            keepRemainingInput();
            return;
        }
        boost::beast::error_code error;
        auto count = put(error);
        m_buffer.consume(count);
        if (error && error != http::error::need_more) {
            if (error == http::error::header_limit)
                reject(431, base::ResultCode::HeadersTooLarge);
            else if (error == http::error::body_limit)
                reject(413, base::ResultCode::RequestTooLarge);
            else
                reject(400, base::ResultCode::MalformedRequest);
            return;
        }
        if (!acceptHeaders())
            return;
        if (!reserveBody()) {
            reject(503, base::ResultCode::BuffersExhausted);
            return;
        }
        if (m_parser->is_done())
            break;
        // The parser wants an element, such as the size of a chunk, that is longer than the whole buffer.
        if (!count && m_buffer.size() >= maxBufferedBytes()) {
            reject(400, base::ResultCode::MalformedRequest);
            return;
        }
        if (!count)
            break;
    }
    if (m_parser->is_done()) {
        m_isServing = true;
        m_hasRequestBytes = false;
        m_receiveWindow.restore();
        auto request = takeRequest();
        keepSentAhead();
        m_server.onRequest(*this, std::move(request));
        return;
    }
    if (!keepRemainingInput())
        return;
    bool expectsContinue = m_parser->is_header_done() && !m_isContinueSent && m_parser->get()[http::field::expect] == "100-continue";
    if (expectsContinue) {
        m_isContinueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

template<typename Server>
bool ClientConnection<Server>::keepRemainingInput()
{
    releaseConsumedInput();
    // What was read ahead is counted already.
    auto uncounted = m_buffer.capacity() - std::min(m_buffer.capacity(), m_inputReservation.bytes());
    if (reserveHead(m_headBytes + uncounted))
        return true;
    reject(503, base::ResultCode::BuffersExhausted);
    return false;
}

template<typename Server>
void ClientConnection<Server>::keepSentAhead()
{
    releaseConsumedInput();
    if (m_buffer.capacity() <= usualUnreadBytes)
        m_inputReservation.growAlwaysTo(m_buffer.capacity());
    else if (!m_inputReservation.growTo(maxReadAhead))
        startDiscarding();
}

template<typename Server>
size_t ClientConnection<Server>::put(boost::beast::error_code& error)
{
    try {
        return m_parser->put(m_buffer.data(), error);
    } catch (const std::length_error&) {
        // A field is longer than the parser's container takes.
        error = boost::beast::http::error::header_limit;
        return 0;
    }
}

template<typename Server>
bool ClientConnection<Server>::acceptHeaders()
{
    namespace http = boost::beast::http;
    if (m_areHeadersAccepted || !m_parser->is_header_done())
        return true;
    m_areHeadersAccepted = true;
    const auto& request = m_parser->get();
    if (hasOversizedField(request)) {
        reject(431, base::ResultCode::HeadersTooLarge);
        return false;
    }
    // A success of CONNECT would turn the connection into a tunnel.
    bool isAmbiguous = !isFramingClear(request, request.version()) || request.count(http::field::host) > 1 || request.method() == http::verb::connect;
    if (isAmbiguous) {
        reject(400, base::ResultCode::MalformedRequest);
        return false;
    }
    // Such a body never finds room.
    auto length = m_parser->content_length();
    if (length && *length > m_server.buffers().limitBytes()) {
        reject(413, base::ResultCode::RequestTooLarge);
        return false;
    }
    size_t lines = 0;
    size_t bytes = request.target().size();
    for (const auto& line : request) {
        ++lines;
        bytes += line.name_string().size() + line.value().size();
    }
    // The fields of a request in chunks are kept twice.
    m_headBytes = headCost(bytes, lines) * (m_parser->chunked() ? 2 : 1);
    if (!reserveHead(m_headBytes)) {
        reject(503, base::ResultCode::BuffersExhausted);
        return false;
    }
    if (m_parser->chunked())
        m_chunkedHeaders = request.base();
    m_parser->eager(true);
    return true;
}

template<typename Server>
typename ClientConnection<Server>::Request ClientConnection<Server>::takeRequest()
{
    auto request = m_parser->release();
    if (m_chunkedHeaders)
        request.base() = std::move(*m_chunkedHeaders);
    return request;
}

template<typename Server>
bool ClientConnection<Server>::reserveBody()
{
    if (!m_parser->is_header_done())
        return true;
    auto bytes = m_parser->get().body().allocatedBytes();
    if (m_headReservation.bytes() + bytes <= ordinaryRequestCost) {
        reserveOrdinary(m_bodyReservation, bytes);
        return true;
    }
    while (!m_bodyReservation.growTo(bytes)) {
        if (!m_server.turnAwayHeavier(*this, bytes))
            return false;
    }
    m_receiveWindow.widenFor(bytes);
    return true;
}

template<typename Server>
bool ClientConnection<Server>::areHeadersComplete()
{
    static constexpr std::string_view end = "\r\n\r\n";
    if (m_parser->is_header_done())
        return true;
    auto data = m_buffer.data();
    std::string_view text(static_cast<const char*>(data.data()), data.size());
    auto from = m_searchedBytes < end.size() ? 0 : m_searchedBytes - end.size() + 1;
    m_searchedBytes = text.size();
    // The parser tells what is wrong with headers beyond the limit, and with bytes that are no request.
    bool isTooLong = text.size() >= m_limits.maxHeaderBytes;
    bool hasRequestLine = text.find("\r\n") != std::string_view::npos;
    return isTooLong || !hasRequestLine || text.find(end, from) != std::string_view::npos;
}

template<typename Server>
bool ClientConnection<Server>::reserveHead(size_t bytes)
{
    if (bytes <= ordinaryRequestCost) {
        reserveOrdinary(m_headReservation, bytes);
        return true;
    }
    while (!m_headReservation.growTo(bytes)) {
        if (!m_server.turnAwayHeavier(*this, bytes))
            return false;
    }
    return true;
}

template<typename Server>
void ClientConnection<Server>::reserveOrdinary(BufferReservation& reservation, size_t bytes)
{
    reservation.growAlwaysTo(bytes);
    while (m_server.buffers().isExceeded(BufferUse::Request) && m_server.turnAwayHeavier(*this, 0)) { }
}

template<typename Server>
void ClientConnection<Server>::countPendingResponses()
{
    static constexpr size_t usualPendingBytes = 8 * 1024;
    auto pending = m_writeBuffer.size() > usualPendingBytes ? m_writeBuffer.size() : 0;
    m_outputReservation.shrinkTo(pending);
    m_outputReservation.growAlwaysTo(pending);
    auto& buffers = m_server.buffers();
    m_isOutputOverBudget = pending && buffers.isExceeded(BufferUse::UnreadResponse);
    while (buffers.isExceeded(BufferUse::Response) && m_server.disconnectSlowReader(*this)) { }
}

template<typename Server>
void ClientConnection<Server>::cutOff()
{
    LOG(WARNING) << log::LogLine("slow_reader_cut_off").with("unread_bytes", m_writeBuffer.size()).with("buffered_bytes", m_server.buffers().usedBytes()).text();
    disconnect();
}

template<typename Server>
void ClientConnection<Server>::recordOutput(size_t bytes)
{
    if (bytes)
        m_outputProgress.record(bytes, base::BootClock {}.now());
}

template<typename Server>
void ClientConnection<Server>::reject(unsigned status, base::ResultCode code)
{
    m_isServing = true;
    m_server.onRejected(*this, status, code);
    LocalResponse response { status, code };
    if (status == 503)
        response.retryAfter = m_server.retryAfter();
    response.isHeadRequest = m_parser->get().method() == boost::beast::http::verb::head;
    write(serializeLocalResponse(response));
    if (isOpen())
        finishResponse(false, base::BootClock {}.now());
}

template<typename Server>
base::Duration ClientConnection<Server>::announceIdleTimeout()
{
    m_idleTimeout = m_server.clientLimits().idleTimeout;
    return base::scaled(m_idleTimeout, announcedIdleShare);
}

template<typename Server>
void ClientConnection<Server>::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    if (m_writeBuffer.isEmpty())
        m_outputProgress.reset(base::BootClock {}.now());
    m_writeBuffer.append(bytes);
    flush();
}

template<typename Server>
void ClientConnection<Server>::finishResponse(bool keepsAlive, base::Instant now)
{
    m_isServing = false;
    m_isReadAheadPaused = false;
    m_phaseStartedAt = now;
    if (!isOpen())
        return;
    if (!keepsAlive || m_isInputDiscarded) {
        m_isClosing = true;
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_parser.reset();
        m_bodyReservation.reset();
        m_headReservation.reset();
        m_inputReservation.reset();
        m_chunkedHeaders.reset();
        flush();
        return;
    }
    beginRequest();
    m_isInputPaused = m_writeBuffer.size() > maxPendingResponseBytes || m_isOutputOverBudget;
    if (!m_buffer.size()) {
        m_inputReservation.reset();
        m_buffer.shrink_to_fit();
    }
    watchInput();
    if (!m_isInputPaused)
        deferParsing();
}

template<typename Server>
void ClientConnection<Server>::deferParsing()
{
    if (!m_buffer.size())
        return;
    // The server answers some requests while they are reported, so parsing the next one here would recurse once for each
    // pipelined request.
    m_isParseDeferred = true;
    m_loop.defer(m_deferredHandler);
}

template<typename Server>
void ClientConnection<Server>::logIdleClose(base::Duration waited) const
{
    auto millis = [](base::Duration duration) { return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()); };
    log::LogLine line("client_connection_idle");
    line.with("idle_ms", millis(waited)).with("limit_ms", millis(m_idleTimeout)).with("limit_in_force_ms", millis(m_server.clientLimits().idleTimeout));
    LOG(INFO) << line.text();
}

template<typename Server>
void ClientConnection<Server>::logUnreadClose() const
{
    log::LogLine line("client_closed_for_memory");
    line.with("unsent_bytes", pendingBytes()).with("buffered_bytes", m_server.buffers().usedBytes());
    LOG(WARNING) << line.text();
}

template<typename Server>
void ClientConnection<Server>::logFailure(int error) const
{
    log::LogLine line("client_connection_failed");
    line.with("error", std::generic_category().message(error)).with("unsent_bytes", pendingBytes());
    LOG(WARNING) << line.text();
}

template<typename Server>
void ClientConnection<Server>::tick(base::Instant now)
{
    if (!isOpen())
        return;
    if (m_isReadAheadPaused && !reserveUnreadInput())
        startDiscarding();
    if (m_isServing || m_isParseDeferred)
        return;
    if (m_isClosing) {
        tickClosing(now);
        return;
    }
    auto waited = now - m_phaseStartedAt;
    if (m_hasRequestBytes && !m_parser->is_header_done() && waited > m_limits.headerTimeout) {
        if (hasUnreadInput())
            return;
        reject(408, base::ResultCode::RequestTimeout);
        return;
    }
    if (m_hasRequestBytes && m_parser->is_header_done()) {
        // What was read ahead during the previous response does not count.
        bool isStalled = now - std::max(m_lastInputAt, m_phaseStartedAt) > m_limits.idleTimeout;
        if (isStalled && !hasUnreadInput())
            reject(408, base::ResultCode::RequestTimeout);
        return;
    }
    if (m_isInputPaused && !reserveUnreadInput()) {
        logUnreadClose();
        disconnect();
        return;
    }
    // Input that waits is read before the next tick, unless the client does not read its responses.
    if (isIdleTooLong(waited) && (m_isInputPaused || !hasUnreadInput())) {
        logIdleClose(waited);
        disconnect();
    }
}

template<typename Server>
void ClientConnection<Server>::tickClosing(base::Instant now)
{
    auto waited = now - m_phaseStartedAt;
    if (!m_isSendingShutDown) {
        if (waited > lingerTimeout && isIdleTooLong(waited)) {
            logIdleClose(waited);
            disconnect();
        }
        return;
    }
    if (now - m_lastInputAt > lingerQuietTime || waited > lingerTimeout)
        disconnect();
}

} // namespace redwingseam::gateway
