#pragma once

#include "fleet/Fleet.h"
#include "forward/AttemptOutcome.h"
#include "forward/CrashRegister.h"
#include "forward/ExchangePolicy.h"
#include "forward/ExchangeRequest.h"
#include "forward/Step.h"

namespace redwingseam::forward {

// The decisions about one client request, from its arrival to its answer: which upstream, when to send
// it again, when to give up. Without I/O; the caller carries out each Step and reports what came of
// it. A stream that broke goes on after its last event. Not synchronised; the references must outlive it.
class Exchange {
public:
    Exchange(ExchangeRequest, fleet::Fleet&, CrashRegister&, const ExchangePolicy&);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    Step begin(base::Instant now, uint64_t random);
    // The current attempt ended. Its connection is closed or free by now.
    Step attemptEnded(AttemptOutcome, base::Instant now, uint64_t random);
    // The target could not reach the upstream that was to keep the copy; not run.
    Step backupRefused(base::Instant now, uint64_t random);
    // A probe of the current upstream ended.
    Step probeEnded(bool isReachable, base::Instant now, uint64_t random);
    // Called at least every few tens of milliseconds.
    Step tick(base::Instant now, uint64_t random);

    // Bytes of the current attempt's answer arrived.
    void noteProgress(base::Instant now);
    // An event was passed on to the client.
    void noteEvent(uint64_t eventId, base::Instant now);
    // The answer's head was passed on, so the client can only be given the rest of this answer.
    void noteHeadSent() { m_isHeadSent = true; }

    const ExchangeRequest& request() const { return m_request; }
    const std::optional<fleet::Placement>& placement() const { return m_placement; }
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }
    bool isHeadSent() const { return m_isHeadSent; }
    // Attempts that may have run.
    unsigned runs() const { return m_runs; }
    unsigned sends() const { return m_sends; }
    // Whether model engines run the request.
    bool isEngineRequest() const;
    // Urgency at the engine, 0 the most urgent and 9 the least.
    unsigned urgency() const;

private:
    Step place(base::Instant now, uint64_t random);
    Step send(fleet::Placement, base::Instant now);
    Step giveUp(AttemptOutcome) const;
    Step refuse(base::ResultCode) const;
    void recordCrash(AttemptOutcome, const fleet::UpstreamInstance&, base::Instant now);
    Step handleSilence(base::Instant now, uint64_t random);
    bool mayRetry(AttemptOutcome, base::Instant now);
    void release();
    fleet::PlacementQuery query(base::Instant now, uint64_t random) const;
    base::Instant deadline() const;
    bool isStream() const { return m_request.route->kind == manifest::RouteKind::Stream; }

    ExchangeRequest m_request;
    fleet::Fleet& m_fleet;
    CrashRegister& m_crashes;
    const ExchangePolicy& m_policy;
    std::optional<fleet::Placement> m_placement;
    std::vector<base::UpstreamName> m_excluded;
    // Address of the upstream that holds a copy of the run's memory from an attempt that ended.
    std::optional<std::string> m_backupAddress;
    std::optional<uint64_t> m_lastEventId;
    unsigned m_runs = 0;
    unsigned m_sends = 0;
    // Sends that reached an upstream.
    unsigned m_reachedAttempts = 0;
    bool m_isHeadSent = false;
    bool m_isProbing = false;
    // The last probe was made while the data centre was doubtful.
    bool m_isProbedDuringOutage = false;
    bool m_mayHaveRun = false;
    // An upstream's whole answer of a failure is at hand, to be delivered if nothing better comes.
    bool m_hasFailureAnswer = false;
    // The current attempt has delivered an event.
    bool m_hasEvent = false;
    base::Instant m_sentAt {};
    base::Instant m_waitingSince {};
    base::Instant m_lastProgress {};
    base::Instant m_lastProbe {};
};

} // namespace redwingseam::forward
