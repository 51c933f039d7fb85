#include "peer/OutboundConnection.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwingseam::peer {

static constexpr size_t maxQueuedBytes = 8 * 1024 * 1024;
// The kernel closes a connection whose sent data stays unacknowledged for this long; the next message
// opens a new one.
static constexpr unsigned acknowledgementTimeoutMillis = 2000;
// What the kernel has accepted precedes every later message.
static constexpr unsigned maxUnsentBytes = 64 * 1024;

static base::FileDescriptor connectTo(const http::SocketAddress& address)
{
    base::FileDescriptor result(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int noDelay = 1;
    setsockopt(result.descriptor(), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    setsockopt(result.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &acknowledgementTimeoutMillis, sizeof acknowledgementTimeoutMillis);
    setsockopt(result.descriptor(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof maxUnsentBytes);
    auto native = address.native();
    // The socket is non-blocking. It reports success or failure when it becomes ready.
    (void)connect(result.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native);
    return result;
}

OutboundConnection::OutboundConnection(const http::SocketAddress& address)
    : m_authority(address.text())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &OutboundConnection::onStreamClosed);
    nghttp2_session* session = nullptr;
    nghttp2_session_client_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
    m_transport.open(connectTo(address), session);
}

static nghttp2_nv headerOf(std::string_view name, std::string_view value)
{
    auto bytes = [](std::string_view text) { return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data())); };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

bool OutboundConnection::send(std::string message)
{
    if (m_queuedBytes + message.size() > maxQueuedBytes)
        return false;
    std::array headers {
        headerOf(":method", "POST"),
        headerOf(":scheme", "http"),
        headerOf(":authority", m_authority),
        headerOf(":path", "/peer"),
    };
    nghttp2_data_provider provider {};
    provider.read_callback = &OutboundConnection::onRead;
    auto stream = nghttp2_submit_request(m_transport.session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0)
        return false;
    m_queuedBytes += message.size();
    m_streams[stream] = { std::move(message), 0 };
    return true;
}

ssize_t OutboundConnection::onRead(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t size, uint32_t* flags, nghttp2_data_source*, void* self)
{
    auto& outgoing = static_cast<OutboundConnection*>(self)->m_streams[stream];
    auto count = std::min(size, outgoing.message.size() - outgoing.offset);
    std::memcpy(buffer, outgoing.message.data() + outgoing.offset, count);
    outgoing.offset += count;
    if (outgoing.offset == outgoing.message.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

int OutboundConnection::onStreamClosed(nghttp2_session*, int32_t stream, uint32_t, void* self)
{
    auto& connection = *static_cast<OutboundConnection*>(self);
    auto outgoing = connection.m_streams.extract(stream);
    if (!outgoing.empty())
        connection.m_queuedBytes -= outgoing.mapped().message.size();
    return 0;
}

} // namespace redwingseam::peer
