#pragma once

#include "base/ResourceScarcity.h"
#include "gateway/MessageFraming.h"
#include "gateway/UpstreamConnection.h"
#include "redwingseam/base/BootClock.h"

#include <cerrno>

namespace redwingseam::gateway {

template<typename Owner>
ConnectStart UpstreamConnection<Owner>::connect(base::Instant now)
{
    m_connectStartedAt = now;
    auto address = http::parseSocketAddress(m_instance.address);
    if (address)
        m_socket = startConnect(address.value());
    if (address && !m_socket.isOpen() && base::isScarcity(errno))
        return ConnectStart::NoResources;
    if (!m_socket.isOpen()) {
        // An owner that were told here would start its next attempt here, and recurse once for each upstream.
        m_loop.defer(m_deferredHandler);
        return ConnectStart::Started;
    }
    m_eventHandler = { this, &UpstreamConnection::onEvents };
    m_loop.add(m_socket.descriptor(), m_eventHandler, EPOLLIN | EPOLLOUT);
    return ConnectStart::Started;
}

template<typename Owner>
void UpstreamConnection<Owner>::send(std::string_view headers, std::span<const std::string> body, bool isHeadRequest, base::Duration timeout)
{
    limitDelivery(m_socket.descriptor(), std::min(timeout, firstAcknowledgementTimeout));
    m_sentAt = base::BootClock {}.now();
    m_requestTimeout = timeout;
    m_isHeadRequest = isHeadRequest;
    m_canReuse = false;
    m_isRequestCutOff = false;
    m_writeBuffer.append(headers);
    for (const auto& block : body)
        m_writeBuffer.appendReference(block);
    m_requestBytes = m_writeBuffer.size();
    m_interimResponses = 0;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    beginResponse();
    if (m_isConnected)
        flush();
}

template<typename Owner>
void UpstreamConnection<Owner>::tick(base::Instant now)
{
    if (!m_parser || m_sentAt == base::Instant {} || now - m_sentAt < acknowledgementCheckDelay)
        return;
    m_sentAt = {};
    // An upstream that pauses has read a part.
    if (m_requestTimeout > firstAcknowledgementTimeout && m_writeBuffer.size() + undeliveredBytes(m_socket.descriptor()) < m_requestBytes)
        limitDelivery(m_socket.descriptor(), m_requestTimeout);
}

template<typename Owner>
void UpstreamConnection<Owner>::beginResponse()
{
    m_parser.emplace();
    m_parser->header_limit(maxResponseHeaderBytes);
    m_parser->body_limit(boost::none);
    if (m_isHeadRequest)
        m_parser->skip(true);
    m_areHeadersReceived = false;
    m_isSkipping = false;
    m_hasResponseBytes = false;
}

template<typename Owner>
void UpstreamConnection<Owner>::close()
{
    m_loop.cancelDeferred(m_deferredHandler);
    if (!m_socket.isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    bool isAwaitingResponse = m_parser.has_value();
    if (isAwaitingResponse && undeliveredBytes(m_socket.descriptor()))
        discardOutputAtClose(m_socket.descriptor());
    m_socket = {};
    m_isConnected = false;
    m_writeBuffer.clear();
}

template<typename Owner>
void UpstreamConnection<Owner>::fail(ConnectionFailure kind)
{
    close();
    if (m_owner)
        m_owner->onUpstreamFailure(*this, kind);
}

template<typename Owner>
void UpstreamConnection<Owner>::handle(uint32_t events)
{
    if (!isOpen())
        return;
    if (!m_isConnected && !finishConnect())
        return;
    if (isOpen() && (events & EPOLLOUT))
        flush();
    if (isOpen() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
        read();
}

template<typename Owner>
bool UpstreamConnection<Owner>::finishConnect()
{
    if (socketError(m_socket.descriptor())) {
        fail(ConnectionFailure::NotConnected);
        return false;
    }
    m_isConnected = true;
    updateInterest();
    if (m_owner)
        m_owner->onUpstreamConnected(*this);
    return isOpen();
}

template<typename Owner>
void UpstreamConnection<Owner>::flush()
{
    // The next read may take the end of the connection for an orderly one, because the error was reported here.
    if (!m_writeBuffer.flush(m_socket.descriptor())) {
        m_writeBuffer.clear();
        m_isRequestCutOff = true;
    }
    updateInterest();
}

template<typename Owner>
void UpstreamConnection<Owner>::updateInterest()
{
    uint32_t events = 0;
    if (!m_isReadingPaused)
        events |= EPOLLIN;
    if (!m_writeBuffer.isEmpty())
        events |= EPOLLOUT;
    m_loop.change(m_socket.descriptor(), m_eventHandler, events);
}

template<typename Owner>
void UpstreamConnection<Owner>::setReadingPaused(bool isPaused)
{
    if (m_isReadingPaused == isPaused || !isOpen())
        return;
    m_isReadingPaused = isPaused;
    updateInterest();
}

template<typename Owner>
bool UpstreamConnection<Owner>::countUnawaitedResponse(unsigned& count, unsigned limit)
{
    if (++count <= limit)
        return true;
    fail(ConnectionFailure::Malformed);
    return false;
}

template<typename Owner>
void UpstreamConnection<Owner>::read()
{
    auto status = readInto(m_socket.descriptor(), m_buffer, maxBufferedBytes);
    m_isEofReceived = status != ReadStatus::Open;
    // The upstream sent unsolicited bytes or closed an idle connection.
    if (!m_parser) {
        if (m_buffer.size() || status != ReadStatus::Open)
            fail(ConnectionFailure::BeforeResponse);
        return;
    }
    parse(status);
}

template<typename Owner>
void UpstreamConnection<Owner>::parse(ReadStatus status)
{
    while (m_parser && m_buffer.size()) {
        auto before = m_buffer.size();
        if (!parseNext())
            return;
        if (m_parser && m_buffer.size() == before)
            break;
    }
    if (!isOpen() || !m_parser)
        return;
    // The parser wants an element, such as the size of a chunk, that is longer than the whole buffer.
    if (m_buffer.size() >= maxBufferedBytes)
        fail(ConnectionFailure::Malformed);
    else if (status != ReadStatus::Open)
        handleEof(status);
}

template<typename Owner>
bool UpstreamConnection<Owner>::parseNext()
{
    boost::beast::error_code error;
    m_hasResponseBytes = true;
    auto count = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(count);
    if (error && error != boost::beast::http::error::need_more) {
        fail(ConnectionFailure::Malformed);
        return false;
    }
    if (!m_parser->is_header_done())
        return true;
    if (!m_areHeadersReceived && (!isStatusSound() || !isFramingSound())) {
        fail(ConnectionFailure::Malformed);
        return false;
    }
    bool isInterim = m_parser->get().result_int() / 100 == 1;
    if (isInterim) {
        beginResponse();
        return countUnawaitedResponse(m_interimResponses, maxInterimResponses);
    }
    if (!m_areHeadersReceived) {
        m_areHeadersReceived = true;
        bool hasLength = m_parser->chunked() || m_parser->content_length() || m_isHeadRequest;
        m_owner->onUpstreamHeaders(*this, m_parser->get(), hasLength);
        if (!isOpen() || !m_parser)
            return false;
        // Until here, so that the owner did not see the fields of a trailer.
        m_parser->eager(true);
    }
    if (!forwardBody())
        return false;
    return m_parser->is_done() ? finishResponse() : true;
}

template<typename Owner>
bool UpstreamConnection<Owner>::isStatusSound() const
{
    static constexpr unsigned lowest = 100;
    static constexpr unsigned highest = 599;
    auto status = m_parser->get().result_int();
    return status >= lowest && status <= highest;
}

template<typename Owner>
bool UpstreamConnection<Owner>::isFramingSound() const
{
    auto length = m_parser->content_length();
    bool hasBody = !m_parser->is_done();
    return isFramingClear(m_parser->get(), m_parser->get().version()) && (!hasBody || !length || *length <= maxStatedBytes);
}

template<typename Owner>
bool UpstreamConnection<Owner>::forwardBody()
{
    auto& body = m_parser->get().body();
    if (body.empty())
        return true;
    std::string bytes;
    bytes.swap(body);
    if (!m_isSkipping) {
        m_owner->onUpstreamBody(*this, bytes);
        return isOpen() && m_parser;
    }
    m_skippedBytes += bytes.size();
    if (m_skippedBytes <= maxSkippedBytes)
        return true;
    fail(ConnectionFailure::Malformed);
    return false;
}

template<typename Owner>
bool UpstreamConnection<Owner>::finishResponse()
{
    bool keepsAlive = m_parser->get().keep_alive() && !m_parser->get().need_eof();
    if (m_isSkipping && keepsAlive) {
        beginResponse();
        return countUnawaitedResponse(m_skippedResponses, maxSkippedResponses);
    }
    if (m_isSkipping) {
        fail(ConnectionFailure::BeforeResponse);
        return false;
    }
    // An upstream that has sent a late response may send another one.
    bool isClean = !m_isEofReceived && !m_buffer.size() && m_writeBuffer.isEmpty() && !m_skippedResponses;
    m_canReuse = keepsAlive && isClean;
    m_parser.reset();
    m_owner->onUpstreamComplete(*this);
    return false;
}

template<typename Owner>
void UpstreamConnection<Owner>::handleEof(ReadStatus status)
{
    if (!m_hasResponseBytes) {
        fail(ConnectionFailure::BeforeResponse);
        return;
    }
    // A response without a length ends when the upstream closes the connection normally. A reset means that it
    // is truncated, and so does an end before the request was written: the upstream did not wait for its rest.
    boost::beast::error_code error;
    if (status == ReadStatus::Closed && m_areHeadersReceived && !m_isSkipping)
        m_parser->put_eof(error);
    bool isRequestWritten = m_writeBuffer.isEmpty() && !m_isRequestCutOff;
    bool isWhole = status == ReadStatus::Closed && isRequestWritten && m_areHeadersReceived && !m_isSkipping && !error && m_parser->is_done();
    if (!isWhole) {
        fail(m_areHeadersReceived ? ConnectionFailure::DuringResponse : ConnectionFailure::BeforeResponse);
        return;
    }
    m_parser.reset();
    m_canReuse = false;
    m_owner->onUpstreamComplete(*this);
}

} // namespace redwingseam::gateway
