#include "peer/InboundConnection.h"

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwingseam::peer {

static constexpr size_t maxMessageBytes = 4 * 1024 * 1024;
static constexpr uint32_t maxConcurrentStreams = 256;

// Makes the kernel close the connection of a peer that vanished. Such a peer opens a new one, and the partial messages on this
// one would be held for ever. Longer than the sender's timeout, which alone decides about slow links.
static void detectVanishedPeer(int descriptor)
{
    static constexpr int isEnabled = 1;
    static constexpr int idleSeconds = 10;
    static constexpr int intervalSeconds = 5;
    static constexpr int maxProbes = 3;
    static constexpr unsigned acknowledgementTimeoutMillis = 25'000;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &isEnabled, sizeof isEnabled);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &maxProbes, sizeof maxProbes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &acknowledgementTimeoutMillis, sizeof acknowledgementTimeoutMillis);
}

InboundConnection::InboundConnection(base::FileDescriptor socket)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &InboundConnection::onDataReceived);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &InboundConnection::onFrameReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &InboundConnection::onStreamClosed);
    nghttp2_session* session = nullptr;
    nghttp2_session_server_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, maxMessageBytes },
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    // The connection's window must also be large enough for a message of the maximum size.
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, maxMessageBytes);
    detectVanishedPeer(socket.descriptor());
    m_transport.open(std::move(socket), session);
}

int InboundConnection::onDataReceived(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t size, void* self)
{
    auto& body = static_cast<InboundConnection*>(self)->m_bodies[stream];
    if (body.size() + size > maxMessageBytes)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    body.append(reinterpret_cast<const char*>(bytes), size);
    return 0;
}

int InboundConnection::onFrameReceived(nghttp2_session* session, const nghttp2_frame* frame, void* self)
{
    auto& connection = *static_cast<InboundConnection*>(self);
    bool isRequestEnd = (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
    if (!isRequestEnd)
        return 0;
    auto body = connection.m_bodies.extract(frame->hd.stream_id);
    if (!body.empty())
        connection.m_messages.push_back(std::move(body.mapped()));
    static char name[] = ":status";
    static char value[] = "204";
    nghttp2_nv status { reinterpret_cast<uint8_t*>(name), reinterpret_cast<uint8_t*>(value), sizeof name - 1, sizeof value - 1, NGHTTP2_NV_FLAG_NONE };
    return nghttp2_submit_response(session, frame->hd.stream_id, &status, 1, nullptr);
}

int InboundConnection::onStreamClosed(nghttp2_session*, int32_t stream, uint32_t, void* self)
{
    static_cast<InboundConnection*>(self)->m_bodies.erase(stream);
    return 0;
}

} // namespace redwingseam::peer
