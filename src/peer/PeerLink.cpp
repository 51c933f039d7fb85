#include "peer/PeerLink.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwingseam::peer {

static constexpr size_t mostQueuedBytes = 8 * 1024 * 1024;
// A connection on which nothing is acknowledged for this long is replaced.
static constexpr unsigned unacknowledgedMillis = 2000;

static base::FileDescriptor connectTo(const http::ListenAddress& address)
{
    base::FileDescriptor result(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int noDelay = 1;
    setsockopt(result.descriptor(), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    setsockopt(result.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMillis, sizeof unacknowledgedMillis);
    auto native = address.native();
    // The outcome shows when the socket becomes ready.
    (void)connect(result.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native);
    return result;
}

PeerLink::PeerLink(const http::ListenAddress& address)
    : m_authority(address.text())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &PeerLink::onClosed);
    nghttp2_session* session = nullptr;
    nghttp2_session_client_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
    m_pump.open(connectTo(address), session);
}

static nghttp2_nv headerOf(std::string_view name, std::string_view value)
{
    auto bytes = [](std::string_view text) { return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data())); };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

bool PeerLink::send(std::string message)
{
    if (m_queuedBytes + message.size() > mostQueuedBytes)
        return false;
    std::array headers {
        headerOf(":method", "POST"),
        headerOf(":scheme", "http"),
        headerOf(":authority", m_authority),
        headerOf(":path", "/peer"),
    };
    nghttp2_data_provider provider {};
    provider.read_callback = &PeerLink::onRead;
    auto stream = nghttp2_submit_request(m_pump.session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0)
        return false;
    m_queuedBytes += message.size();
    m_streams[stream] = { std::move(message), 0 };
    return true;
}

ssize_t PeerLink::onRead(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t size, uint32_t* flags, nghttp2_data_source*, void* self)
{
    auto& outgoing = static_cast<PeerLink*>(self)->m_streams[stream];
    auto count = std::min(size, outgoing.message.size() - outgoing.offset);
    std::memcpy(buffer, outgoing.message.data() + outgoing.offset, count);
    outgoing.offset += count;
    if (outgoing.offset == outgoing.message.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

int PeerLink::onClosed(nghttp2_session*, int32_t stream, uint32_t, void* self)
{
    auto& link = *static_cast<PeerLink*>(self);
    auto outgoing = link.m_streams.extract(stream);
    if (!outgoing.empty())
        link.m_queuedBytes -= outgoing.mapped().message.size();
    return 0;
}

} // namespace redwingseam::peer
