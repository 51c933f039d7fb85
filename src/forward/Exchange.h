#pragma once

#include "fleet/Fleet.h"
#include "forward/AttemptOutcome.h"
#include "forward/AttemptPair.h"
#include "forward/CrashEvidence.h"
#include "forward/ExchangePolicy.h"
#include "forward/ExchangeRequest.h"
#include "forward/PlacementQueue.h"
#include "forward/Step.h"
#include "forward/UnservedAttempt.h"
#include "origin/StreamOrigins.h"

namespace redwingseam::forward {

// The state machine of one client request from its arrival to its response: chooses the upstream and decides when to
// retry and when to give up. Does no I/O: the caller carries out each Step and reports the result. A broken stream
// resumes after its last event. A stream's silent attempt is kept beside its replacement until one of them brings an event,
// the replacement fails, or both have run for a moment. The late attempt of an idempotent request is kept until one of the two has
// ended, so that the first complete response is delivered. Arguments named `random` are random bits for the choice of an upstream. Not
// synchronised; the references must outlive the Exchange.
class Exchange {
public:
    Exchange(ExchangeRequest, fleet::Fleet&, PlacementQueue&, CrashEvidence&, origin::StreamOrigins&, const ExchangePolicy&);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    // Starts the first attempt, or refuses the request if it is quarantined and no trial is due.
    Step begin(base::Instant now, uint64_t random);
    // Handles the end of the current attempt. Its connection must already be closed or released.
    Step attemptEnded(AttemptOutcome, base::Instant now, uint64_t random);
    // Returns the outcome of an attempt whose stream has ended as complete. One that was to resume a stream and brought no
    // new event says that nothing was missing, and so does a spoiled response, so that another upstream must confirm it.
    AttemptOutcome judgeStreamEnd();
    // Handles an attempt for which this node lacks the resources to connect: nothing was sent, and the upstream is not
    // judged. The request waits for them as it waits for an upstream.
    Step attemptNotStarted(base::Instant now);
    // Handles a request that was not run, possibly because the target could not reach the backup upstream. Sends it to
    // the same target again with another backup if the retry limits permit.
    Step backupRefused(base::Instant now, uint64_t random);
    // Handles the result of a probe of the current upstream. Returns Send if another attempt is to replace it.
    Step probeEnded(bool isReachable, base::Instant now, uint64_t random);
    // Handles a probe for which this node lacks the resources. It proves nothing.
    void probeNotStarted() { m_attempts.current().isProbing = false; }
    // Returns whether the attempt before the current one is kept, because it may still go on.
    bool isAttemptKept() const { return m_attempts.isAnyKept(); }
    // Records bytes of the kept attempt that are no event.
    void recordKeptActivity(base::Instant now);
    // Makes the kept attempt the current one, because it has brought an event or its end. The connection of the attempt that
    // was to replace it must already be closed.
    void keptAttemptGoesOn(base::Instant now);
    // Handles the failure of the kept attempt.
    void keptAttemptEnded(AttemptOutcome, base::Instant now);
    // Handles timeouts. Must be called at least every few tens of milliseconds.
    Step tick(base::Instant now, uint64_t random);

    // Handles a stop of this node before which a response could not end if the request were sent only now. Refuses the
    // request if it waits to be sent and has not run, because another node can serve it.
    Step stopWaiting() const;
    // As stopWaiting, for a request that was to be sent now.
    Step stopBeforeSend();
    // Returns the final step of the request, whatever its state. Makes no judgement of the current upstream.
    Step abandon() const;

    // Records that a new connection is being established for the current attempt. Until it is, nothing is sent, so the
    // attempt cannot run.
    void recordConnecting() { m_attempts.current().isConnecting = true; }
    // Records that the current upstream accepted the connection or that bytes of its response arrived. Bytes show that
    // the upstream lives, but only events are progress.
    void recordActivity(base::Instant now);
    // Records an event of the current attempt that is about to be forwarded to the client, and ends the kept attempt;
    // `eventId` is nullopt for an event without an id.
    void recordEvent(std::optional<uint64_t> eventId, base::Instant now);
    // Returns whether events of the current upstream may be forwarded. They may not if it was started again meanwhile, since
    // its version may be another one.
    bool isUpstreamCurrent() const;
    // Records that an event has begun and is incomplete.
    void recordPartialEvent(base::Instant now);
    // Excludes a time in which this process did not run, so that it does not count as silence of the upstream.
    void discountPause(base::Duration, base::Instant now);
    // Records that the response headers were forwarded. From then on the client can get only the rest of this
    // response.
    void recordHeadersSent() { m_areHeadersSent = true; }

    const ExchangeRequest& request() const { return m_request; }
    const std::optional<fleet::Placement>& placement() const { return m_attempts.current().placement; }
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }
    bool areHeadersSent() const { return m_areHeadersSent; }
    // Returns the number of attempts before the current one that may have run.
    unsigned possibleRuns() const { return m_possibleRuns + (isAttemptKept() ? 1 : 0); }
    // Returns the number of times that the request was handed over for sending.
    unsigned sends() const { return m_sends; }
    // Returns whether the request waits for room at an engine.
    bool isQueued() const { return m_queuedWork.has_value(); }
    // Returns whether model engines run the request.
    bool isEngineRequest() const;
    // Returns the urgency for the engine, from 0 for the most urgent to 9 for the least. A resumed stream precedes new ones
    // of its priority, since its client is waiting in the middle of a response.
    unsigned urgency() const;

private:
    Step place(base::Instant now, uint64_t random);
    Step placeOrWait(base::Instant now, uint64_t random);
    // Whether the client takes up a stream that an earlier attempt began.
    bool isTakenUp() const { return isStream() && m_request.route->isResumable && m_request.lastEventId; }
    // Finds out where a stream that the client takes up has begun. Returns the step to take if the request cannot be sent now.
    std::optional<Step> bindToOrigin(base::Instant now);
    // Handles that no upstream of the version that began the stream is left.
    Step giveUpVersion(base::Instant now) const;
    Step refuseTakeUp(base::ResultCode, base::Instant now) const;
    // Records where the stream is sent, unless it has begun already.
    void recordStart(base::Instant now);
    // Whether the service has upstreams, and none of the version that began the stream.
    bool isVersionGone(base::Instant now) const { return m_origin && !m_fleet.serves(m_request.service, m_origin->version, now) && m_fleet.serves(m_request.service, {}, now); }
    // Lets the upstreams that did not serve the request be tried again once they are no longer suspected. Returns whether any
    // of them still accepts requests.
    bool readmitUnserved(base::Instant now);
    // Whether the request may be held back until an engine has room. Resumed streams and retries go first.
    bool mayQueue() const { return isEngineRequest() && !m_request.lastEventId && !m_sends; }
    Step placeInTurn(base::Instant now, uint64_t random);
    Step joinQueue(base::Instant now, uint64_t random);
    void leaveQueue();
    // Returns the pause after a dispatch from the queue, so that the nodes together do not overrun the engines between
    // two reports of their load.
    base::Duration pauseBetweenDispatches(base::Instant now);
    base::Instant latestDispatch() const;
    // Returns a refusal that asks the client to come back when room is expected, spread so that the clients do not
    // return together, and more urgent ones first.
    Step refuseUntilRoom(base::Duration expectedWait, base::Instant now, uint64_t random) const;
    // Returns a refusal that asks the client to come back after all upstreams have asked this node to wait.
    Step refuseWhileDeferred(base::Duration wait, base::Instant now, uint64_t random) const;
    // Returns when a refused client should come back: after `firstShare` of the wait or later, by rank and spread.
    base::Duration spreadReturn(base::Duration wait, double firstShare, base::Instant now, uint64_t random) const;
    // Whether the upstreams of a plain service are to be asked less while they are full.
    bool isCrowdingBounded() const { return m_policy.boundsCrowding && !isEngineRequest(); }
    // Returns a refusal if the request would most likely be refused by the upstreams of a plain service.
    std::optional<Step> refuseWhileCrowded(base::Instant now, uint64_t random) const;
    Step send(fleet::Placement, base::Instant now);
    Step giveUp(AttemptOutcome) const;
    Step refuse(base::ResultCode) const;
    Step refuseDraining() const;
    // Returns whether the request or one of its prompt parts is quarantined.
    bool isQuarantined(base::Instant now);
    // Returns whether the request may be sent: it is not quarantined, or it may be sent as a trial.
    bool maySend(base::Instant now);
    // As maySend, for a request that is about to be sent: begins the trial if it is one.
    bool tryBeginTrial(base::Instant now);
    // Lets another request be the trial if this one has not reached an upstream.
    void cancelTrial();
    bool isSuspect(base::Instant now);
    Step refuseQuarantined(base::Instant now) const;
    void recordProgress(base::Instant now);
    void recordFirstEvent(base::Instant now);
    void updateCrashEvidence(const Attempt&, AttemptOutcome, base::Instant now);
    Step handleSilence(base::Instant now, uint64_t random);
    bool isIdempotentAttemptLate(base::Instant now) const;
    // Returns the time without an event after which a stream is given up at an upstream that can be reached.
    base::Duration stallLimit(base::Instant now) const;
    bool isStreamStalled(base::Instant now) const;
    // Starts another attempt if possible. Silence is no proof that there will be no response, so otherwise the attempt goes
    // on until the deadline, and is kept beside the other one.
    Step replaceSilentAttempt(SilenceReason, base::Instant now, uint64_t random);
    SilentAttempt describeSilence(SilenceReason, base::Instant now) const;
    // Updates the state after the end of an attempt.
    void recordAttemptEnd(Attempt&, AttemptOutcome, base::Instant now);
    // Makes the kept attempt the current one after the end of the other.
    Step goBack(bool isBackupMissing = false);
    // Ends the kept attempt, in whose place the current one goes on.
    void dropKeptAttempt(base::Instant now);
    // Whether an earlier attempt or the kept one may have run the request.
    bool mayHaveRunBefore() const { return m_mayHaveRun || isAttemptKept(); }
    // Whether the request may be sent again after `possibleRuns` and `reachedAttempts`, the last of which ended so.
    bool isRetryAllowed(AttemptOutcome, unsigned possibleRuns, unsigned reachedAttempts, base::Instant now);
    bool acquireRetry(AttemptOutcome, base::Instant now);
    // As the shared retry budget. Logs the first time that it is used up for this request.
    bool acquireSharedRetry(base::Instant now);
    // Lets a stream that has begun wait until the shared retry budget permits its next attempt.
    Step waitForRetry(base::Instant now);
    Step waitBeforePlacement(base::Duration pause, base::Instant now);
    void release();
    fleet::PlacementQuery query(base::Instant now, uint64_t random) const;
    base::Instant deadline() const;
    bool isStream() const { return m_request.route->kind == manifest::RouteKind::Stream; }

    // Whether the prompt is larger than the KV cache of the engines.
    const bool m_exceedsEngines;
    ExchangeRequest m_request;
    fleet::Fleet& m_fleet;
    PlacementQueue& m_queue;
    CrashEvidence& m_crashes;
    origin::StreamOrigins& m_origins;
    const ExchangePolicy& m_policy;
    AttemptPair m_attempts;
    std::optional<schedule::QueuedWork> m_queuedWork;
    // Upstreams on which an attempt has failed.
    std::vector<base::UpstreamName> m_excluded;
    // Those of them that may be asked again: no connection was established, or the stream has begun and they had no room or were
    // left for silence.
    std::vector<UnservedAttempt> m_unserved;
    // Upstreams to which the request was sent. A late copy of an upstream's earlier response bears the same attempt id,
    // so the request is not sent again on a connection that may carry one.
    std::vector<base::UpstreamName> m_contacted;
    // Address of the upstream with a backup of the run's KV cache from an earlier attempt.
    std::optional<std::string> m_backupAddress;
    std::optional<uint64_t> m_lastEventId;
    // Where the stream began; nothing until its first event.
    std::optional<origin::StreamOrigin> m_origin;
    // Whether others are being asked where the stream began.
    bool m_isAwaitingOrigin = false;
    // Attempts in which an upstream may have run the request.
    unsigned m_possibleRuns = 0;
    // Attempts that were started, whether or not a connection was established.
    unsigned m_sends = 0;
    // Attempts that reached an upstream, whether or not it ran the request.
    unsigned m_reachedAttempts = 0;
    bool m_areHeadersSent = false;
    bool m_isWaitingForRetry = false;
    bool m_isRetryDenialLogged = false;
    // Whether a retry was taken from the shared budget for an attempt that did not reach an upstream.
    bool m_hasUnusedRetry = false;
    bool m_mayHaveRun = false;
    // Whether a complete failure response of an upstream is buffered, for delivery if no later attempt succeeds.
    bool m_hasFailureResponse = false;
    // Whether an upstream has ended the stream after the last event, without a new one.
    bool m_isEndReported = false;
    // When the request was sent to try whether it or one of its prompt parts still crashes upstreams.
    std::optional<base::Instant> m_trialAt;
    // Since when no usable upstream has been found; zero if the request is not waiting for one.
    base::Instant m_waitingSince {};
    // When a stream that has begun looks for an upstream again.
    base::Instant m_nextPlacementAt {};
    // Since when this node lacks the resources to connect; zero if it has them.
    base::Instant m_noResourcesSince {};
};

} // namespace redwingseam::forward
