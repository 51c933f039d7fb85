#pragma once

#include "forward/ChooseService.h"
#include "forward/Exchange.h"
#include "gateway/ClientConnection.h"
#include "gateway/GatewayState.h"
#include "gateway/HeaderCodec.h"
#include "gateway/RequestSettingsOf.h"
#include "gateway/SessionOutcome.h"
#include "gateway/UpstreamAttempt.h"
#include "gateway/UpstreamConnection.h"

#include <memory>

namespace redwingseam::gateway {

// Processes one client request: executes the steps of its Exchange on sockets and reports their results
// back to it. Used only on its worker's thread.
template<HeaderCodec Codec, typename Worker>
class Session {
public:
    using Client = ClientConnection<Worker>;
    using Upstream = UpstreamConnection<Session>;
    using Attempt = UpstreamAttempt<Upstream>;

    Session(Worker&, Client&, typename Client::Request, base::Instant now);
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Matches the request to a route and forwards it, or sends a local response.
    void begin();
    void clientDisconnected();
    // `pause` is the time before `now` in which the process did not run, or zero.
    void tick(base::Instant now, base::Duration pause);
    // Gives the client its final answer, because the process is about to end.
    void abandon();
    bool isEnded() const { return m_isEnded; }
    Client& client() { return m_client; }

    // Callbacks of an upstream connection.
    void onUpstreamConnected(Upstream&);
    // `hasLength` is false if only the end of the connection marks the end of the response.
    void onUpstreamHeaders(Upstream&, const boost::beast::http::fields&, bool hasLength);
    void onUpstreamBody(Upstream&, std::string_view);
    void onUpstreamComplete(Upstream&);
    void onUpstreamFailure(Upstream&, ConnectionFailure);

private:
    // A connection attempt is abandoned after this time; a lost SYN is retransmitted only after one second.
    static constexpr base::Duration connectTimeout = std::chrono::milliseconds(350);
    // Longer than a round trip between regions.
    static constexpr base::Duration probeTimeout = std::chrono::milliseconds(150);
    // Idle timeout of a pooled connection whose upstream does not state one.
    static constexpr base::Duration defaultKeepAlive = std::chrono::milliseconds(1500);
    // Fraction of the stated idle timeout that is used, because the upstream's timer starts at a different time.
    static constexpr double keepAliveFraction = 0.6;
    static constexpr size_t maxResponseBodyBytes = 8 * 1024 * 1024;
    static constexpr size_t maxEventBytes = 64 * 1024;
    // The upstream is not read while the client has more than this to read, until half of it is left.
    static constexpr size_t maxPendingClientBytes = 64 * 1024;

    forward::ExchangeRequest makeExchangeRequest(const forward::Admission&, uint64_t random) const;
    void execute(forward::Step);
    // Returns until when a request of the route may be sent so that its response ends before this process does.
    base::Instant latestStart(const manifest::Route&) const;
    // Reserves memory for a response that is being received. What the upstream has done for an ordinary request is not lost for
    // lack of memory. Returns false if there is none, also from clients that read slowly.
    bool reserveResponse(BufferReservation&, size_t bytes);
    // Answers a request that was not run. Only a refusal that may not hold later asks the client to come back.
    void refuseRequest(const forward::Step&);
    void startAttempt(const forward::SendParameters&);
    void writeRequest();
    // Returns the request line and the headers for the upstream.
    std::string serializeRequestHeaders(const forward::SendParameters&) const;
    void startProbe();
    void endFailedProbe();
    // Logs that the current attempt is to be replaced because its upstream is silent, and its end unless it is kept.
    void recordReplacement(const forward::SendParameters& next);
    bool isKept(const Upstream& connection) const { return m_kept && m_kept->connection.get() == &connection; }
    Attempt& attemptOf(const Upstream& connection) { return isKept(connection) ? *m_kept : *m_attempt; }
    void recordActivity(const Upstream&);
    // Keeps the current attempt beside a new one.
    void keepAttempt();
    // Makes the kept attempt the current one again. The other one's connection must already be closed.
    void goBack();
    // Goes on with the kept attempt, and closes the one that was to replace it.
    void goOnWithKept();
    // Returns why the end of the kept attempt's response is no reason to go on with it, or nothing if it is.
    std::optional<forward::AttemptOutcome> failureOfKeptEnd(Attempt&);
    // Closes the kept attempt if the Exchange keeps it no longer.
    void followExchange();
    void closeKept(forward::AttemptOutcome);
    // Handles the failure of the kept or the current attempt.
    void failAttempt(const Upstream&, forward::AttemptOutcome);
    void endAttempt(forward::AttemptOutcome);
    // Logs why the current attempt is to be replaced by one at `next`.
    void logReplacement(const forward::SilentAttempt&, const fleet::UpstreamInstance& next) const;
    // Logs the first failed probe of an attempt.
    void logFailedProbe();
    // Logs once that this node lacks the resources to connect.
    void logNoResources();
    void finishBufferedResponse();
    void finishStream();
    forward::AttemptOutcome classifyResponse(const Attempt&) const;
    // Whether a stream has ended without being complete.
    static bool isCutOff(const Attempt&);
    // Ends the attempt if it has brought too much of an incomplete event. Returns whether it goes on.
    bool limitPartialEvent(const Upstream&);
    void forwardEvent(const forward::StreamEvent&);
    void writeEvent(const forward::StreamEvent&);
    void recordEventTimes(base::Instant now);
    // Stops or continues to read the upstream as the client reads its response.
    void matchReadingToClient(base::Instant now);
    void writeResponseHeaders(const BufferedResponse&, std::string_view framing);
    // Sends the upstream no requests for as long as it asks when it turns one away.
    void applyRetryAfter(const Upstream&, const ResponseMetadata&, const boost::beast::http::fields&);
    // Discards what has arrived of a response that is not complete.
    void discardResponse();
    void deliverResponse();
    void sendLocalResponse(const LocalResponse&, SessionOutcome);
    void abortResponse(SessionOutcome, base::ResultCode);
    void end(SessionOutcome);
    // Adds the outcome to the error-budget report.
    void recordOutcome(SessionOutcome);
    // Closes the connection of the current attempt, and the probe.
    void closeUpstream();
    void closeConnection(std::unique_ptr<Upstream>&);
    void releaseUpstream(std::unique_ptr<Upstream>);
    // Decides whether the client connection goes on after this response. Called once, for the headers of the response: a
    // client that was not told otherwise may send its next request.
    bool decideClientConnection();
    void logAdmission(const forward::Admission&) const;
    void logOutcome(SessionOutcome) const;
    // Counts and logs the end of an attempt.
    void recordAttempt(const Attempt&, forward::AttemptOutcome) const;
    base::Instant now() const { return base::BootClock {}.now(); }
    uint64_t random() { return m_worker.random(); }
    bool isEventStream() const { return m_attempt->isEventStream; }
    bool isHeadRequest() const { return m_clientRequest.method() == boost::beast::http::verb::head; }

    Worker& m_worker;
    GatewayState& m_state;
    Client& m_client;
    typename Client::Request m_clientRequest;
    RequestMetadata m_requestMetadata;
    uint64_t m_number;
    base::Instant m_arrivedAt;
    std::optional<base::ClientName> m_account;
    settings::RequestSettings m_requestSettings;
    // Why the gateway sent a local response or aborted the response.
    base::ResultCode m_errorCode = base::ResultCode::Ok;
    std::unique_ptr<forward::Exchange> m_exchange;
    // The current attempt, or the last one. Never null.
    std::unique_ptr<Attempt> m_attempt;
    // The attempt that the Exchange keeps beside the current one.
    std::unique_ptr<Attempt> m_kept;
    std::unique_ptr<Upstream> m_probe;
    base::Instant m_lastTickAt {};
    // Whether the process did not run before the last tick.
    bool m_wasPaused = false;
    // Failure response of an upstream, delivered if no later attempt returns a better one.
    std::optional<BufferedResponse> m_failureResponse;
    bool m_keepsClientConnection = false;
    bool m_isEnded = false;
    // Whether the connection to the upstream failed since the last event.
    bool m_isResuming = false;
    bool m_isNoResourcesLogged = false;
    base::Instant m_firstSentAt {};
    base::Instant m_firstEventAt {};
    base::Instant m_lastEventAt {};
    base::Duration m_longestEventGap {};
};

} // namespace redwingseam::gateway

#include "gateway/SessionImpl.h"
#include "gateway/SessionReportingImpl.h"
#include "gateway/SessionResponsesImpl.h"
#include "gateway/SessionSilenceImpl.h"
