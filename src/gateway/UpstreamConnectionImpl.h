#pragma once

#include "gateway/UpstreamConnection.h"

namespace redwingseam::gateway {

template<typename Owner>
bool UpstreamConnection<Owner>::connect(base::Instant now)
{
    auto address = http::parseSocketAddress(m_instance.address);
    if (!address)
        return false;
    m_connectBegan = now;
    m_socket = beginConnect(address.value());
    if (!m_socket.isOpen())
        return false;
    m_watch = { this, &UpstreamConnection::onEvents };
    m_loop.add(m_socket.descriptor(), m_watch, EPOLLIN | EPOLLOUT);
    return true;
}

template<typename Owner>
void UpstreamConnection<Owner>::send(std::string_view head, std::string_view body, bool isHeadRequest)
{
    m_isHeadRequest = isHeadRequest;
    m_isClean = false;
    m_outgoing.append(head);
    m_outgoing.append(body);
    beginAnswer();
    if (m_isConnected)
        flush();
}

template<typename Owner>
void UpstreamConnection<Owner>::beginAnswer()
{
    m_answer.emplace();
    m_answer->header_limit(answerHeaderBytes);
    m_answer->body_limit(boost::none);
    m_answer->eager(true);
    if (m_isHeadRequest)
        m_answer->skip(true);
    m_isHeadSeen = false;
    m_isSkipping = false;
    m_hasAnswerBytes = false;
}

template<typename Owner>
void UpstreamConnection<Owner>::close()
{
    if (!m_socket.isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    m_socket = {};
    m_isConnected = false;
}

template<typename Owner>
void UpstreamConnection<Owner>::breakOff(BreakKind kind)
{
    close();
    if (m_owner)
        m_owner->onUpstreamBroken(*this, kind);
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
    if (connectError(m_socket.descriptor())) {
        breakOff(BreakKind::NotConnected);
        return false;
    }
    m_isConnected = true;
    m_loop.change(m_socket.descriptor(), m_watch, EPOLLIN);
    if (m_owner)
        m_owner->onUpstreamConnected(*this);
    return isOpen();
}

template<typename Owner>
void UpstreamConnection<Owner>::flush()
{
    // An error shows up again when the connection is read.
    if (!m_outgoing.flush(m_socket.descriptor()))
        m_outgoing.clear();
    m_loop.change(m_socket.descriptor(), m_watch, m_outgoing.isEmpty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
}

template<typename Owner>
void UpstreamConnection<Owner>::read()
{
    auto status = readInto(m_socket.descriptor(), m_buffer, mostBuffered);
    m_isEndSeen = status != ReadStatus::Open;
    // Bytes that no request asked for, or the end of a connection that is kept.
    if (!m_answer) {
        if (m_buffer.size() || status != ReadStatus::Open)
            breakOff(BreakKind::BeforeAnswer);
        return;
    }
    parse(status);
}

template<typename Owner>
void UpstreamConnection<Owner>::parse(ReadStatus status)
{
    while (m_answer && m_buffer.size()) {
        auto before = m_buffer.size();
        if (!parseSome())
            return;
        if (m_answer && m_buffer.size() == before)
            break;
    }
    if (status != ReadStatus::Open && isOpen() && m_answer)
        endOfBytes(status);
}

template<typename Owner>
bool UpstreamConnection<Owner>::parseSome()
{
    boost::beast::error_code error;
    m_hasAnswerBytes = true;
    auto count = m_answer->put(m_buffer.data(), error);
    m_buffer.consume(count);
    if (error && error != boost::beast::http::error::need_more) {
        breakOff(BreakKind::Malformed);
        return false;
    }
    if (!m_answer->is_header_done())
        return true;
    bool isInterim = m_answer->get().result_int() / 100 == 1;
    if (isInterim) {
        beginAnswer();
        return true;
    }
    if (!m_isHeadSeen) {
        m_isHeadSeen = true;
        bool hasLength = m_answer->chunked() || m_answer->content_length() || m_isHeadRequest;
        m_owner->onUpstreamHead(*this, m_answer->get(), hasLength);
        if (!isOpen() || !m_answer)
            return false;
    }
    if (!takeBody())
        return false;
    return m_answer->is_done() ? finishAnswer() : true;
}

template<typename Owner>
bool UpstreamConnection<Owner>::takeBody()
{
    auto& body = m_answer->get().body();
    if (body.empty())
        return true;
    std::string bytes;
    bytes.swap(body);
    if (!m_isSkipping)
        m_owner->onUpstreamBody(*this, bytes);
    return isOpen() && m_answer;
}

template<typename Owner>
bool UpstreamConnection<Owner>::finishAnswer()
{
    bool keepsAlive = m_answer->get().keep_alive() && !m_answer->get().need_eof();
    if (m_isSkipping && keepsAlive) {
        beginAnswer();
        return true;
    }
    if (m_isSkipping) {
        breakOff(BreakKind::BeforeAnswer);
        return false;
    }
    m_isClean = keepsAlive && !m_isEndSeen && !m_buffer.size() && m_outgoing.isEmpty();
    m_answer.reset();
    m_owner->onUpstreamComplete(*this);
    return false;
}

template<typename Owner>
void UpstreamConnection<Owner>::endOfBytes(ReadStatus status)
{
    if (!m_hasAnswerBytes) {
        breakOff(BreakKind::BeforeAnswer);
        return;
    }
    // An answer without a length ends with an orderly end of its connection, not with a reset.
    boost::beast::error_code error;
    if (status == ReadStatus::Closed && m_isHeadSeen && !m_isSkipping)
        m_answer->put_eof(error);
    bool isWhole = status == ReadStatus::Closed && m_isHeadSeen && !m_isSkipping && !error && m_answer->is_done();
    if (!isWhole) {
        breakOff(m_isHeadSeen ? BreakKind::InAnswer : BreakKind::BeforeAnswer);
        return;
    }
    m_answer.reset();
    m_isClean = false;
    m_owner->onUpstreamComplete(*this);
}

} // namespace redwingseam::gateway
