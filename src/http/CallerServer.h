#pragma once

#include "base/Condition.h"
#include "http/BodyBudget.h"
#include "http/CallerConnection.h"
#include "http/ClientKeyCodec.h"
#include "http/SocketAddress.h"
#include "redwingseam/base/Error.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/node/Finish.h"
#include "redwingseam/node/Refuse.h"
#include "redwingseam/node/SendTokens.h"
#include "stream/ResumeTokenCodec.h"

#include <atomic>
#include <concepts>
#include <memory>
#include <unordered_map>

namespace redwingseam::http {

// Handles the requests and the disconnects of callers. Called on the threads of the CallerServer.
template<typename T>
concept CallerEventHandler = requires(T& handler, const node::CallerRequest& request, const node::CallerDisconnected& gone)
{
    handler.handle(request);
    handler.handle(gone);
};

// HTTP front end for callers: streams completions as server-sent events or returns them as one response,
// and forwards calls of plain services. Uses threads of libmicrohttpd that wait on epoll, and suspends a
// connection while it has nothing to send. Contains no scheduling or routing decisions. `send`, `finish`,
// `refuse`, `unfinishedRequests` and `bodies` are thread-safe; `start` and `stop` must be called on one thread.
template<CallerEventHandler Handler>
class CallerServer {
public:
    // What the bodies of all unfinished requests may take, unless the machine's memory says otherwise.
    static constexpr size_t defaultBodyBytes = 32 * 1024 * 1024;

    // `handler` must outlive the server. Larger bodies are refused while those of all unfinished requests take
    // `maxBodyBytes` together.
    CallerServer(const std::string& secret, uint64_t firstRequestId, Handler& handler, size_t maxBodyBytes = defaultBodyBytes);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // Starts listening. Returns false if the server cannot be started, for example if the address is in use.
    bool start(const SocketAddress&);
    // Returns the port that the server listens on.
    uint16_t port() const;
    // Ends the responses that are not complete with an error, or as broken if they have begun, gives their callers a
    // short time to receive it, closes all connections and stops the threads.
    void stop();
    // Returns the number of requests whose response has not been sent completely.
    size_t unfinishedRequests() const { return m_unfinishedRequests; }
    BodyBudget& bodies() { return m_bodies; }

    // Appends tokens to the response. Ignored if the caller has disconnected or the response has ended.
    void send(const node::SendTokens&);
    // Ends the response successfully.
    void finish(const node::Finish&);
    // Ends the response with an error: an error status, or an `error` event if streaming has started.
    void refuse(const node::Refuse&);

private:
    using ConnectionPointer = std::shared_ptr<CallerConnection>;
    using ConnectionMap = std::unordered_map<base::RequestId, ConnectionPointer>;

    static MHD_Result onAccess(void*, MHD_Connection*, const char* url, const char* method, const char*, const char* upload, size_t* uploadSize, void** state);
    static void onCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode);
    static ssize_t onRead(void*, uint64_t, char* buffer, size_t size);

    // Reserves memory for what has arrived of the body. Returns false if there is none. Bodies of ordinary requests always
    // find room.
    bool reserveBody(CallerConnection&);
    // Lowers what is reserved for the body.
    void shrinkReservation(CallerConnection&, size_t bytes);
    MHD_Result receiveBody(CallerConnection&, const char* upload, size_t* uploadSize);
    MHD_Result startRequest(const ConnectionPointer&, const std::string& method);
    MHD_Result queueResponse(const ConnectionPointer&);
    base::Error parse(CallerConnection&, const std::string& method, node::CallerRequest&);
    base::Error parseCompletionRequest(CallerConnection&, node::CallerRequest&);
    base::Error parseServiceRequest(CallerConnection&, node::CallerRequest&);
    ConnectionPointer find(base::RequestId);
    static void wake(CallerConnection&);
    // Ends the response because the server stops. Returns false if it was complete.
    static bool breakOff(CallerConnection&);
    void awaitResponses();

    ClientKeyCodec m_keys;
    stream::ResumeTokenCodec m_resumeTokens;
    std::atomic<uint64_t> m_nextId;
    std::atomic<size_t> m_unfinishedRequests { 0 };
    BodyBudget m_bodies;
    base::Sharded<ConnectionMap> m_connections;
    std::atomic<bool> m_isStopping { false };
    base::Mutex m_stopMutex;
    // Signalled when the last response has been sent during a stop.
    base::Condition m_responsesSent;
    Handler& m_handler;
    MHD_Daemon* m_daemon = nullptr;
};

} // namespace redwingseam::http

#include "http/CallerServerImpl.h"
