#pragma once

#include "http/ServerLimits.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"
#include "http/SocketAddress.h"

#include <cstring>
#include <memory>
#include <string>

namespace redwingseam::http {

// HTTP server with one thread per connection, for admin ports and small servers whose handlers may block.
// `Handler` provides `handle(const ServerRequest&)` and a type `Stream` whose `next()` returns the next
// chunk of a streamed body, or nothing at its end. `handle` must be thread-safe, because connections are
// served concurrently. A request body over 2 MiB closes the connection without a response.
template<typename Handler>
class BlockingServer {
public:
    using Response = ServerResponse<typename Handler::Stream>;

    BlockingServer(Handler& handler, const SocketAddress& address, const ServerLimits& limits = {})
        : m_handler(handler)
    {
        static constexpr size_t stackBytes = 256 * 1024;
        auto native = address.native();
        m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, address.port, nullptr, nullptr,
            &BlockingServer::onRequest, this,
            MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&native),
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
            MHD_OPTION_THREAD_STACK_SIZE, stackBytes,
            MHD_OPTION_CONNECTION_LIMIT, limits.connections,
            MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits.connectionsPerAddress,
            MHD_OPTION_CONNECTION_TIMEOUT, limits.idleSeconds,
            MHD_OPTION_NOTIFY_COMPLETED, &BlockingServer::onCompleted, nullptr,
            MHD_OPTION_END);
    }

    ~BlockingServer()
    {
        if (m_daemon)
            MHD_stop_daemon(m_daemon);
    }

    BlockingServer(const BlockingServer&) = delete;
    BlockingServer& operator=(const BlockingServer&) = delete;

    // Whether the server could be started. It fails, for example, if the address is in use.
    bool isListening() const { return m_daemon != nullptr; }

private:
    static constexpr size_t maxBodyBytes = 2 * 1024 * 1024;

    static MHD_Result onRequest(void* self, MHD_Connection* connection, const char* url, const char* method, const char*, const char* upload, size_t* uploadSize, void** state)
    {
        auto* request = static_cast<ServerRequest*>(*state);
        if (!request) {
            *state = new ServerRequest { method, url, {}, connection };
            return MHD_YES;
        }
        if (*uploadSize) {
            if (request->body.size() + *uploadSize > maxBodyBytes)
                return MHD_NO;
            request->body.append(upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        return queueResponse(connection, static_cast<BlockingServer*>(self)->m_handler.handle(*request));
    }

    static MHD_Result queueResponse(MHD_Connection* connection, Response response)
    {
        static constexpr size_t blockBytes = 4096;
        MHD_Response* native = nullptr;
        if (response.stream)
            native = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, blockBytes, &BlockingServer::onRead, new StreamState { std::move(response.stream), {}, 0 }, &BlockingServer::onStreamFreed);
        else
            native = MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(native, "Content-Type", response.contentType.c_str());
        auto result = MHD_queue_response(connection, response.status, native);
        MHD_destroy_response(native);
        return result;
    }

    struct StreamState {
        std::unique_ptr<typename Handler::Stream> stream;
        std::string pending;
        size_t offset;
    };

    static ssize_t onRead(void* userData, uint64_t, char* buffer, size_t size)
    {
        auto& state = *static_cast<StreamState*>(userData);
        if (state.offset == state.pending.size()) {
            auto next = state.stream->next();
            if (!next)
                return MHD_CONTENT_READER_END_OF_STREAM;
            state.pending = std::move(*next);
            state.offset = 0;
        }
        auto count = std::min(size, state.pending.size() - state.offset);
        std::memcpy(buffer, state.pending.data() + state.offset, count);
        state.offset += count;
        return static_cast<ssize_t>(count);
    }

    static void onStreamFreed(void* userData) { delete static_cast<StreamState*>(userData); }

    static void onCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) { delete static_cast<ServerRequest*>(*state); }

    Handler& m_handler;
    MHD_Daemon* m_daemon = nullptr;
};

} // namespace redwingseam::http
