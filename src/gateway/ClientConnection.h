#pragma once

#include "gateway/EventLoop.h"
#include "gateway/OutgoingBytes.h"
#include "gateway/SocketCalls.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/manifest/ClientLimits.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <sys/epoll.h>

namespace redwingseam::gateway {

// One client's connection: reads a request, gives it to the server, writes its answer, and goes on with
// the next. All calls come from its event loop's thread.
template<typename Server>
class ClientConnection {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    ClientConnection(EventLoop&, Server&, base::FileDescriptor, const manifest::ClientLimits&, base::Instant now);
    ~ClientConnection() { close(); }
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Appends bytes of the current answer.
    void write(std::string_view);
    // The current answer is whole. The connection goes on with the next request, or ends if either side
    // does not keep it.
    void finishAnswer(bool keepsAlive, base::Instant now);
    // Ends the connection at once, so that the client sees an answer that is not whole.
    void close();

    bool isOpen() const { return m_socket.isOpen(); }
    // Whether a request has been read whose answer is not finished.
    bool isServing() const { return m_isServing; }
    // Whether nothing of a request has arrived since the last answer.
    bool isIdle() const { return !m_isServing && !m_hasRequestBytes && m_outgoing.isEmpty(); }
    // Ends a connection that has taken too long to send a request.
    void tick(base::Instant now);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // What a client may send ahead while its request is being served.
    static constexpr size_t mostReadAhead = 64 * 1024;
    static constexpr size_t mostBuffered = 256 * 1024;
    // Time for an answer's last bytes to leave before the connection is closed.
    static constexpr base::Duration lingerTimeout = std::chrono::seconds(3);

    static void onEvents(void* self, uint32_t events) { static_cast<ClientConnection*>(self)->handle(events); }
    void handle(uint32_t events);
    void flush();
    void read();
    void parse();
    void beginRequest();
    void reject(unsigned status, base::ResultCode);
    void watchFor(uint32_t events);

    EventLoop& m_loop;
    Server& m_server;
    base::FileDescriptor m_socket;
    manifest::ClientLimits m_limits;
    Watch m_watch;
    uint32_t m_watchedEvents = EPOLLIN;
    OutgoingBytes m_outgoing;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_isServing = false;
    bool m_hasRequestBytes = false;
    bool m_hasContinued = false;
    // Closes as soon as all is written.
    bool m_isEnding = false;
    base::Instant m_since {};
};

} // namespace redwingseam::gateway

#include "gateway/ClientConnectionImpl.h"
