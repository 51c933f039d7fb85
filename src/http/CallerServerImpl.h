#pragma once

#include "base/MonotonicClock.h"
#include "http/CallerServer.h"
#include "http/ErrorBody.h"

#include "http/HttpStatus.h"
#include "http/RequestParser.h"
#include "log/LogLine.h"

#include <algorithm>
#include <cstring>
#include <glog/logging.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace redwingseam::http {

inline constexpr size_t maxRequestBodyBytes = 1024 * 1024;
// A body up to this size is received even if larger ones take all the memory.
inline constexpr size_t usualRequestBodyBytes = 8 * 1024;
// A body is held by its request, and once more while it is sent to an upstream.
inline constexpr size_t copiesOfBody = 2;
inline constexpr size_t maxIdempotencyKeyBytes = 200;
inline constexpr unsigned callerServerThreads = 2;
// A connection without any activity for this long, such as a stalled upload, is closed.
inline constexpr unsigned callerIdleTimeoutSeconds = 60;
inline constexpr unsigned maxCallerConnections = 8192;
inline constexpr size_t callerConnectionMemoryBytes = 8 * 1024;
// A stop waits this long for callers to receive the last responses.
inline constexpr base::Duration callerStopTimeout = std::chrono::milliseconds(500);

template<CallerEventHandler Handler>
CallerServer<Handler>::CallerServer(const std::string& secret, uint64_t firstRequestId, Handler& handler, size_t maxBodyBytes)
    : m_keys(secret)
    , m_resumeTokens(secret)
    , m_nextId(firstRequestId)
    , m_bodies(maxBodyBytes)
    , m_handler(handler)
{
}

template<CallerEventHandler Handler>
CallerServer<Handler>::~CallerServer()
{
    stop();
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::stop()
{
    if (!m_daemon)
        return;
    m_isStopping = true;
    // libmicrohttpd requires that no connection is suspended when the daemon stops.
    size_t unanswered = 0;
    m_connections.forEach([&](ConnectionMap& connections) {
        for (auto& [id, connection] : connections)
            unanswered += breakOff(*connection);
    });
    if (unanswered)
        LOG(WARNING) << log::LogLine("responses_broken_off").with("requests", unanswered).text();
    awaitResponses();
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

template<CallerEventHandler Handler>
bool CallerServer<Handler>::breakOff(CallerConnection& connection)
{
    std::lock_guard guard(connection.mutex);
    if (connection.isEnded)
        return false;
    if (connection.areHeadersReady) {
        connection.isBroken = true;
        connection.isEnded = true;
    } else {
        setErrorResponse(connection, { base::ResultCode::OutcomeUnknown, "this VM shut down before the response was complete" }, base::nameOf(node::RunState::Unknown));
    }
    wake(connection);
    return true;
}

// Stopping the daemon closes connections whose responses have not been sent yet.
template<CallerEventHandler Handler>
void CallerServer<Handler>::awaitResponses()
{
    std::lock_guard guard(m_stopMutex);
    auto until = base::MonotonicClock {}.now() + callerStopTimeout;
    for (auto now = base::MonotonicClock {}.now(); m_unfinishedRequests && now < until; now = base::MonotonicClock {}.now())
        m_responsesSent.waitFor(m_stopMutex, until - now);
}

template<CallerEventHandler Handler>
uint16_t CallerServer<Handler>::port() const
{
    const auto* info = m_daemon ? MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT) : nullptr;
    return info ? info->port : 0;
}

template<CallerEventHandler Handler>
bool CallerServer<Handler>::start(const SocketAddress& address)
{
    m_isStopping = false;
    auto native = address.native();
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, address.port, nullptr, nullptr,
        &CallerServer<Handler>::onAccess, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&native),
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_THREAD_POOL_SIZE, callerServerThreads,
        MHD_OPTION_CONNECTION_TIMEOUT, callerIdleTimeoutSeconds,
        MHD_OPTION_CONNECTION_LIMIT, maxCallerConnections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, callerConnectionMemoryBytes,
        MHD_OPTION_NOTIFY_COMPLETED, &CallerServer<Handler>::onCompleted, this,
        MHD_OPTION_END);
    return m_daemon != nullptr;
}

template<CallerEventHandler Handler>
MHD_Result CallerServer<Handler>::onAccess(void* self, MHD_Connection* native, const char* url, const char* method, const char*, const char* upload, size_t* uploadSize, void** state)
{
    auto& server = *static_cast<CallerServer*>(self);
    if (!*state) {
        auto connection = std::make_shared<CallerConnection>();
        connection->native = native;
        connection->path = url;
        *state = new ConnectionPointer(std::move(connection));
        return MHD_YES;
    }
    auto& connection = *static_cast<ConnectionPointer*>(*state);
    if (*uploadSize)
        return server.receiveBody(*connection, upload, uploadSize);
    if (connection->hasStarted)
        return server.queueResponse(connection);
    return server.startRequest(connection, method);
}

template<CallerEventHandler Handler>
bool CallerServer<Handler>::reserveBody(CallerConnection& connection)
{
    auto bytes = connection.body.allocatedBytes() * copiesOfBody;
    auto added = bytes - connection.reservedBytes;
    if (connection.body.allocatedBytes() <= usualRequestBodyBytes)
        m_bodies.reserveAlways(added);
    else if (!m_bodies.tryReserve(added))
        return false;
    connection.reservedBytes = bytes;
    return true;
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::shrinkReservation(CallerConnection& connection, size_t bytes)
{
    if (bytes >= connection.reservedBytes)
        return;
    m_bodies.release(connection.reservedBytes - bytes);
    connection.reservedBytes = bytes;
}

template<CallerEventHandler Handler>
MHD_Result CallerServer<Handler>::receiveBody(CallerConnection& connection, const char* upload, size_t* uploadSize)
{
    // Reads and discards the rest of an oversized body, so that the caller can receive the error response.
    if (connection.body.size() + *uploadSize > maxRequestBodyBytes)
        connection.isBodyTooLarge = true;
    if (!connection.isBodyTooLarge && !connection.isBodyRefused) {
        connection.body.append({ upload, *uploadSize });
        connection.isBodyRefused = !reserveBody(connection);
    }
    if (connection.isBodyTooLarge || connection.isBodyRefused) {
        connection.body = {};
        shrinkReservation(connection, 0);
    }
    *uploadSize = 0;
    return MHD_YES;
}

template<CallerEventHandler Handler>
MHD_Result CallerServer<Handler>::startRequest(const ConnectionPointer& connection, const std::string& method)
{
    node::CallerRequest request;
    auto error = parse(*connection, method, request);
    connection->hasStarted = true;
    // The content waits with the request, until the response is complete.
    shrinkReservation(*connection, error.code == base::ResultCode::Ok ? request.content.size() * copiesOfBody : 0);
    ++m_unfinishedRequests;
    if (error.code != base::ResultCode::Ok) {
        setErrorResponse(*connection, error, "not-run");
        return queueResponse(connection);
    }
    connection->body = {};
    connection->id = { m_nextId++ };
    request.id = connection->id;
    if (!request.seed && !request.resume)
        request.seed = request.id.value;
    connection->fingerprint = node::fingerprintOf(request);
    // Requests in the map before a stop visits it are ended by the stop, and later ones are refused here.
    bool isAccepted = m_connections.with(request.id.value, [&](ConnectionMap& connections) { return !m_isStopping && connections.emplace(request.id, connection).second; });
    if (isAccepted)
        m_handler.handle(request);
    else
        setErrorResponse(*connection, { base::ResultCode::Draining, "this VM is shutting down" }, base::nameOf(node::RunState::NotRun));
    return queueResponse(connection);
}

template<CallerEventHandler Handler>
base::Error CallerServer<Handler>::parse(CallerConnection& connection, const std::string& method, node::CallerRequest& request)
{
    if (connection.isBodyTooLarge)
        return { base::ResultCode::RequestTooLarge, "the request body is longer than 1 MiB" };
    if (connection.isBodyRefused)
        return { base::ResultCode::BuffersExhausted, "this VM buffers too many request bodies; come back later" };
    if (method != "POST")
        return { base::ResultCode::UnknownRoute, "unknown route " + method + " " + connection.path + ": expected POST /v1/completions or POST /v1/services/NAME" };
    const char* authorization = MHD_lookup_connection_value(connection.native, MHD_HEADER_KIND, "Authorization");
    std::string_view bearer = authorization ? authorization : "";
    static constexpr std::string_view scheme = "Bearer ";
    auto client = m_keys.verify(bearer.starts_with(scheme) ? bearer.substr(scheme.size()) : std::string_view {});
    if (!client)
        return client.error();
    connection.client = client.value();
    auto error = connection.path == "/v1/completions" ? parseCompletionRequest(connection, request) : parseServiceRequest(connection, request);
    request.client = connection.client;
    return error;
}

template<CallerEventHandler Handler>
base::Error CallerServer<Handler>::parseCompletionRequest(CallerConnection& connection, node::CallerRequest& request)
{
    auto parsed = parseCompletion(connection.body.text());
    if (!parsed)
        return parsed.error();
    request = std::move(parsed.value().request);
    connection.isStreamed = parsed.value().isStreamed;
    const char* lastEvent = MHD_lookup_connection_value(connection.native, MHD_HEADER_KIND, "Last-Event-ID");
    if (!lastEvent)
        return {};
    auto point = m_resumeTokens.decode(connection.client, node::fingerprintOf(request), lastEvent);
    if (!point)
        return point.error();
    request.resume = std::move(point.value());
    return {};
}

template<CallerEventHandler Handler>
base::Error CallerServer<Handler>::parseServiceRequest(CallerConnection& connection, node::CallerRequest& request)
{
    static constexpr std::string_view prefix = "/v1/services/";
    if (!connection.path.starts_with(prefix) || connection.path.size() == prefix.size())
        return { base::ResultCode::UnknownRoute, "unknown route POST " + connection.path + ": expected POST /v1/completions or POST /v1/services/NAME" };
    request.kind = node::RequestKind::ServiceCall;
    request.target = connection.path.substr(prefix.size());
    request.content = connection.body.text();
    request.work.text = request.target;
    const char* key = MHD_lookup_connection_value(connection.native, MHD_HEADER_KIND, "Idempotency-Key");
    if (!key)
        return {};
    if (!*key || std::strlen(key) > maxIdempotencyKeyBytes)
        return { base::ResultCode::MalformedRequest, "Idempotency-Key: expected 1 to 200 bytes, found " + std::to_string(std::strlen(key)) };
    // Scopes the key to the client and the service. The length prefix keeps the concatenation unambiguous,
    // so keys of different clients cannot collide.
    request.key = base::IdempotencyKey { std::to_string(connection.client.text.size()) + ":" + connection.client.text + ":" + request.target + ":" + key };
    return {};
}

template<CallerEventHandler Handler>
MHD_Result CallerServer<Handler>::queueResponse(const ConnectionPointer& connection)
{
    std::lock_guard guard(connection->mutex);
    if (!connection->areHeadersReady) {
        connection->isSuspended = true;
        MHD_suspend_connection(connection->native);
        return MHD_YES;
    }
    static constexpr size_t blockBytes = 2048;
    auto* response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, blockBytes, &CallerServer<Handler>::onRead, new ConnectionPointer(connection),
        [](void* pointer) { delete static_cast<ConnectionPointer*>(pointer); });
    MHD_add_response_header(response, "Content-Type", connection->isEventStream ? "text/event-stream" : "application/json");
    if (connection->retryAfterSeconds)
        MHD_add_response_header(response, "Retry-After", std::to_string(connection->retryAfterSeconds).c_str());
    auto result = MHD_queue_response(connection->native, connection->status, response);
    MHD_destroy_response(response);
    return result;
}

template<CallerEventHandler Handler>
ssize_t CallerServer<Handler>::onRead(void* pointer, uint64_t, char* buffer, size_t size)
{
    auto& connection = **static_cast<ConnectionPointer*>(pointer);
    std::lock_guard guard(connection.mutex);
    auto count = std::min(size, connection.outgoing.size() - connection.offset);
    std::memcpy(buffer, connection.outgoing.data() + connection.offset, count);
    connection.offset += count;
    if (connection.offset == connection.outgoing.size()) {
        connection.outgoing.clear();
        connection.offset = 0;
    }
    if (count)
        return static_cast<ssize_t>(count);
    if (connection.isBroken)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    if (connection.isEnded)
        return MHD_CONTENT_READER_END_OF_STREAM;
    connection.isSuspended = true;
    MHD_suspend_connection(connection.native);
    return 0;
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::wake(CallerConnection& connection)
{
    if (!connection.isSuspended)
        return;
    connection.isSuspended = false;
    MHD_resume_connection(connection.native);
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::onCompleted(void* self, MHD_Connection*, void** state, MHD_RequestTerminationCode)
{
    auto& server = *static_cast<CallerServer*>(self);
    std::unique_ptr<ConnectionPointer> connection(static_cast<ConnectionPointer*>(*state));
    if (!connection)
        return;
    {
        std::lock_guard guard((*connection)->mutex);
        server.shrinkReservation(**connection, 0);
    }
    if (!(*connection)->hasStarted)
        return;
    if (!--server.m_unfinishedRequests && server.m_isStopping) {
        std::lock_guard guard(server.m_stopMutex);
        server.m_responsesSent.signal();
    }
    auto id = (*connection)->id;
    if (!id.value)
        return;
    server.m_connections.with(id.value, [&](ConnectionMap& connections) { connections.erase(id); });
    bool isEnded = false;
    {
        std::lock_guard guard((*connection)->mutex);
        isEnded = (*connection)->isEnded;
        // libmicrohttpd may free or reuse the connection after this callback, so no effect may use it any more.
        (*connection)->isEnded = true;
        (*connection)->isSuspended = false;
    }
    if (!isEnded)
        server.m_handler.handle(node::CallerDisconnected { id });
}

template<CallerEventHandler Handler>
typename CallerServer<Handler>::ConnectionPointer CallerServer<Handler>::find(base::RequestId id)
{
    return m_connections.with(id.value, [&](ConnectionMap& connections) -> ConnectionPointer {
        auto found = connections.find(id);
        return found == connections.end() ? nullptr : found->second;
    });
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::send(const node::SendTokens& effect)
{
    auto connection = find(effect.request);
    if (!connection)
        return;
    auto eventId = m_resumeTokens.encode(connection->client, connection->fingerprint, effect.resumePoint);
    auto tokens = nlohmann::json::array();
    std::string text;
    for (const auto& token : effect.tokens) {
        tokens.push_back(token.id);
        text += token.text;
    }
    nlohmann::json data { { "index", effect.firstIndex }, { "tokens", std::move(tokens) }, { "text", std::move(text) } };
    std::lock_guard guard(connection->mutex);
    if (connection->isEnded)
        return;
    if (connection->isStreamed) {
        connection->outgoing += "id: " + eventId + "\ndata: " + dumpJson(data) + "\n\n";
        connection->isEventStream = true;
        connection->areHeadersReady = true;
        wake(*connection);
    } else {
        connection->pieces += dumpJson(data) + ",";
    }
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::finish(const node::Finish& effect)
{
    auto connection = find(effect.request);
    if (!connection)
        return;
    std::lock_guard guard(connection->mutex);
    if (connection->isEnded)
        return;
    shrinkReservation(*connection, 0);
    bool isServiceCall = effect.answer.status != 0;
    if (isServiceCall) {
        connection->status = effect.answer.status;
        connection->outgoing = effect.answer.body;
    } else if (connection->isStreamed) {
        connection->isEventStream = true;
        connection->outgoing += "event: done\ndata: " + dumpJson({ { "total", effect.totalTokens }, { "resumes", effect.resumes } }) + "\n\n";
    } else {
        if (!connection->pieces.empty())
            connection->pieces.pop_back();
        connection->outgoing = "{\"total\":" + std::to_string(effect.totalTokens) + ",\"resumes\":" + std::to_string(effect.resumes) + ",\"pieces\":[" + connection->pieces + "]}";
    }
    connection->areHeadersReady = true;
    connection->isEnded = true;
    wake(*connection);
}

template<CallerEventHandler Handler>
void CallerServer<Handler>::refuse(const node::Refuse& effect)
{
    auto connection = find(effect.request);
    if (!connection)
        return;
    std::lock_guard guard(connection->mutex);
    if (connection->isEnded)
        return;
    shrinkReservation(*connection, 0);
    if (connection->isEventStream) {
        // The status line has already been sent, so the error is reported as an event.
        connection->outgoing += "event: error\ndata: " + errorBody(effect.error, base::nameOf(effect.runState)) + "\n\n";
        connection->isEnded = true;
    } else {
        static constexpr base::Duration second = std::chrono::seconds(1);
        connection->retryAfterSeconds = static_cast<unsigned>((effect.retryAfter + second - base::Duration(1)) / second);
        setErrorResponse(*connection, effect.error, base::nameOf(effect.runState));
    }
    wake(*connection);
}

} // namespace redwingseam::http
