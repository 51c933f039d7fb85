#pragma once

#include "gateway/ClientConnection.h"
#include "gateway/OwnAnswer.h"
#include "redwingseam/base/BootClock.h"

namespace redwingseam::gateway {

template<typename Server>
ClientConnection<Server>::ClientConnection(EventLoop& loop, Server& server, base::FileDescriptor socket, const manifest::ClientLimits& limits, base::Instant now)
    : m_loop(loop)
    , m_server(server)
    , m_socket(std::move(socket))
    , m_limits(limits)
    , m_watch { this, &ClientConnection::onEvents }
    , m_since(now)
{
    beginRequest();
    m_loop.add(m_socket.descriptor(), m_watch, m_watchedEvents);
}

template<typename Server>
void ClientConnection<Server>::beginRequest()
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->eager(true);
    m_hasRequestBytes = false;
    m_hasContinued = false;
}

template<typename Server>
void ClientConnection<Server>::close()
{
    if (!m_socket.isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    m_socket = {};
}

template<typename Server>
void ClientConnection<Server>::watchFor(uint32_t events)
{
    if (events == m_watchedEvents)
        return;
    m_watchedEvents = events;
    m_loop.change(m_socket.descriptor(), m_watch, events);
}

template<typename Server>
void ClientConnection<Server>::handle(uint32_t events)
{
    if (isOpen() && (events & EPOLLOUT))
        flush();
    if (isOpen() && (events & EPOLLRDHUP)) {
        close();
        m_server.onClientGone(*this);
        return;
    }
    if (isOpen() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
        read();
}

template<typename Server>
void ClientConnection<Server>::flush()
{
    if (!m_outgoing.flush(m_socket.descriptor())) {
        close();
        m_server.onClientGone(*this);
        return;
    }
    if (m_outgoing.isEmpty() && m_isEnding) {
        close();
        m_server.onClientGone(*this);
        return;
    }
    watchFor(m_outgoing.isEmpty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
}

template<typename Server>
void ClientConnection<Server>::read()
{
    auto status = readInto(m_socket.descriptor(), m_buffer, m_isServing ? mostReadAhead : mostBuffered);
    if (status != ReadStatus::Open) {
        close();
        m_server.onClientGone(*this);
        return;
    }
    if (m_isServing && m_buffer.size() >= mostReadAhead) {
        // Only its end is of interest until the answer is finished.
        watchFor(m_outgoing.isEmpty() ? EPOLLRDHUP : EPOLLRDHUP | EPOLLOUT);
        return;
    }
    if (m_isEnding)
        m_buffer.clear();
    else if (!m_isServing)
        parse();
}

template<typename Server>
void ClientConnection<Server>::parse()
{
    namespace http = boost::beast::http;
    while (m_buffer.size()) {
        if (!m_hasRequestBytes) {
            m_hasRequestBytes = true;
            m_since = base::BootClock {}.now();
        }
        boost::beast::error_code error;
        auto count = m_parser->put(m_buffer.data(), error);
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
        if (m_parser->is_done())
            break;
        if (!count)
            return;
    }
    if (m_parser->is_done()) {
        m_isServing = true;
        m_hasRequestBytes = false;
        m_server.onRequest(*this, m_parser->release());
        return;
    }
    bool wantsGoAhead = m_parser->is_header_done() && !m_hasContinued && m_parser->get()[http::field::expect] == "100-continue";
    if (wantsGoAhead) {
        m_hasContinued = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

template<typename Server>
void ClientConnection<Server>::reject(unsigned status, base::ResultCode code)
{
    m_isServing = true;
    m_server.onRejected(*this, status, code);
    write(ownAnswerText({ status, code, {}, false }));
    if (isOpen())
        finishAnswer(false, base::BootClock {}.now());
}

template<typename Server>
void ClientConnection<Server>::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    m_outgoing.append(bytes);
    flush();
}

template<typename Server>
void ClientConnection<Server>::finishAnswer(bool keepsAlive, base::Instant now)
{
    m_isServing = false;
    m_since = now;
    if (!isOpen())
        return;
    if (!keepsAlive) {
        m_isEnding = true;
        m_buffer.clear();
        flush();
        return;
    }
    beginRequest();
    watchFor(m_outgoing.isEmpty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
    // What a client sent ahead waits in the buffer already.
    parse();
}

template<typename Server>
void ClientConnection<Server>::tick(base::Instant now)
{
    if (!isOpen() || m_isServing)
        return;
    auto waited = now - m_since;
    if (m_isEnding && waited > lingerTimeout) {
        close();
        m_server.onClientGone(*this);
        return;
    }
    if (m_isEnding)
        return;
    if (m_hasRequestBytes && !m_parser->is_header_done() && waited > m_limits.headerTimeout) {
        reject(408, base::ResultCode::RequestTimeout);
        return;
    }
    if (waited > m_limits.idleTimeout) {
        close();
        m_server.onClientGone(*this);
    }
}

} // namespace redwingseam::gateway
