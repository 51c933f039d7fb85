#pragma once

#include "gateway/BreakKind.h"
#include "gateway/EventLoop.h"
#include "gateway/OutgoingBytes.h"
#include "gateway/SocketCalls.h"
#include "redwingseam/fleet/UpstreamInstance.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <concepts>
#include <optional>
#include <sys/epoll.h>

namespace redwingseam::gateway {

// One HTTP/1.1 connection to an upstream, for one request at a time. Its owner changes as it is used,
// kept and used again. All calls come from its event loop's thread. After a notice the connection may be
// handed on or retired, but must live until the loop's batch of events ends.
template<typename Owner>
class UpstreamConnection {
public:
    using Answer = boost::beast::http::response_parser<boost::beast::http::string_body>;

    UpstreamConnection(EventLoop& loop, fleet::UpstreamInstance instance)
        : m_loop(loop)
        , m_instance(std::move(instance))
    {
    }
    ~UpstreamConnection() { close(); }
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    // Returns false if it failed at once.
    bool connect(base::Instant now);
    // Writes a request as soon as the connection stands. Answers come as notices to the owner.
    void send(std::string_view head, std::string_view body, bool isHeadRequest);
    void close();

    void setOwner(Owner* owner) { m_owner = owner; }
    const fleet::UpstreamInstance& instance() const { return m_instance; }
    bool isConnected() const { return m_isConnected; }
    bool isOpen() const { return m_socket.isOpen(); }
    base::Instant connectBegan() const { return m_connectBegan; }
    // Whether the last exchange ended so that another request may follow on this connection.
    bool isReusable() const { return isOpen() && m_isConnected && m_isClean; }
    base::Instant idleSince() const { return m_idleSince; }
    base::Duration idleLimit() const { return m_idleLimit; }
    void markIdle(base::Instant now, base::Duration limit)
    {
        m_idleSince = now;
        m_idleLimit = limit;
    }
    // Drops the answer that is being read and reads the next one on this connection.
    void skipAnswer() { m_isSkipping = true; }

private:
    static constexpr uint32_t answerHeaderBytes = 64 * 1024;
    static constexpr size_t mostBuffered = 256 * 1024;

    static void onEvents(void* self, uint32_t events) { static_cast<UpstreamConnection*>(self)->handle(events); }
    void handle(uint32_t events);
    bool finishConnect();
    void flush();
    void read();
    void parse(ReadStatus);
    // Returns false once the connection has ended or changed hands.
    bool parseSome();
    bool takeBody();
    bool finishAnswer();
    void endOfBytes(ReadStatus);
    void breakOff(BreakKind);
    void beginAnswer();

    EventLoop& m_loop;
    fleet::UpstreamInstance m_instance;
    Owner* m_owner = nullptr;
    base::FileDescriptor m_socket;
    Watch m_watch;
    OutgoingBytes m_outgoing;
    boost::beast::flat_buffer m_buffer;
    std::optional<Answer> m_answer;
    base::Instant m_connectBegan {};
    base::Instant m_idleSince {};
    base::Duration m_idleLimit {};
    bool m_isConnected = false;
    bool m_isClean = true;
    bool m_isHeadRequest = false;
    bool m_isHeadSeen = false;
    bool m_isSkipping = false;
    bool m_hasAnswerBytes = false;
    bool m_isEndSeen = false;
};

} // namespace redwingseam::gateway

#include "gateway/UpstreamConnectionImpl.h"
