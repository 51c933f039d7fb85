#include "forward/Exchange.h"
#include "base/ScaledDuration.h"
#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>

namespace redwingseam::forward {

using base::ResultCode;
using base::scaled;

Exchange::Exchange(ExchangeRequest request, fleet::Fleet& fleet, PlacementQueue& queue, CrashEvidence& crashes, origin::StreamOrigins& origins, const ExchangePolicy& policy)
    : m_request(std::move(request))
    , m_fleet(fleet)
    , m_queue(queue)
    , m_crashes(crashes)
    , m_origins(origins)
    , m_policy(policy)
    , m_lastEventId(m_request.lastEventId)
{
}

Exchange::~Exchange()
{
    leaveQueue();
    if (m_placement && m_isConnecting)
        cancelTrial();
    release();
}

void Exchange::release()
{
    if (m_placement)
        m_fleet.release(*m_placement);
    m_placement.reset();
}

base::Instant Exchange::deadline() const
{
    return m_request.arrivedAt + std::min(m_request.clientTimeout, m_request.route->timeout);
}

Step Exchange::begin(base::Instant now, uint64_t random)
{
    m_fleet.countRequest(m_request.service, now);
    return place(now, random);
}

bool Exchange::isEngineRequest() const
{
    const auto* service = m_request.index->service(m_request.service);
    return service && service->engine;
}

unsigned Exchange::urgency() const
{
    static constexpr unsigned mostUrgent = 1;
    static constexpr unsigned stepBetweenPriorities = 2;
    static constexpr unsigned leastUrgent = 9;
    auto urgency = std::min(leastUrgent, mostUrgent + stepBetweenPriorities * m_request.priority);
    return m_lastEventId ? urgency - 1 : urgency;
}

fleet::PlacementQuery Exchange::query(base::Instant now, uint64_t random) const
{
    fleet::PlacementQuery query;
    query.service = m_request.service;
    if (const auto* service = m_request.index->service(m_request.service))
        query.engine = service->engine;
    query.promptTokens = m_request.promptTokens;
    query.maxOutputTokens = m_request.maxOutputTokens;
    query.promptKey = m_request.promptKey;
    query.isResumption = m_request.lastEventId.has_value();
    query.excluded = m_excluded;
    query.preferredAddress = m_backupAddress;
    if (m_origin)
        query.version = m_origin->version;
    else if (isStream() && !m_request.attempt.empty())
        query.preferredVersion = m_fleet.assignedVersion(m_request.service, m_request.attempt);
    query.wantsBackup = m_request.route->isResumable;
    query.random = random;
    query.now = now;
    return query;
}

bool Exchange::isQuarantined(base::Instant now)
{
    return m_crashes.requests.isQuarantined(m_request.fingerprint, now) || m_crashes.parts.isQuarantined(m_request.promptParts);
}

bool Exchange::maySend(base::Instant now)
{
    if (!isQuarantined(now))
        return true;
    return !m_sends && m_crashes.requests.isTrialDue(m_request.fingerprint, now) && m_crashes.parts.isTrialDue(m_request.promptParts, now);
}

// A request that still waits to be sent does not hold up the trial of another one.
bool Exchange::tryBeginTrial(base::Instant now)
{
    if (m_sends || !isQuarantined(now))
        return true;
    if (!m_crashes.requests.tryBeginTrial(m_request.fingerprint, now))
        return false;
    m_trialAt = now;
    if (m_crashes.parts.tryBeginTrial(m_request.promptParts, now))
        return true;
    cancelTrial();
    return false;
}

void Exchange::cancelTrial()
{
    if (m_trialAt) {
        m_crashes.requests.cancelTrial(m_request.fingerprint, *m_trialAt);
        m_crashes.parts.cancelTrial(m_request.promptParts, *m_trialAt);
    }
    m_trialAt.reset();
}

bool Exchange::isSuspect(base::Instant now)
{
    return m_crashes.requests.isSuspect(m_request.fingerprint, now) || m_crashes.parts.isSuspect(m_request.promptParts);
}

Step Exchange::refuseQuarantined(base::Instant now) const
{
    auto step = refuse(ResultCode::HarmfulRequest);
    auto until = std::max(m_crashes.parts.quarantinedUntil(m_request.promptParts).value_or(now), m_crashes.requests.quarantinedUntil(m_request.fingerprint, now).value_or(now));
    step.retryAfter = std::clamp(std::min(until, now + m_policy.maxRetryAfter) - now, m_policy.retryAfter, m_policy.maxRetryAfter);
    return step;
}

Step Exchange::place(base::Instant now, uint64_t random)
{
    if (!maySend(now)) {
        leaveQueue();
        m_waitingSince = {};
        return m_mayHaveRun || m_areHeadersSent ? giveUp(AttemptOutcome::NotRun) : refuseQuarantined(now);
    }
    if (auto step = bindToOrigin(now))
        return *step;
    if (isVersionGone(now))
        return giveUpVersion(now);
    return mayQueue() ? placeInTurn(now, random) : placeOrWait(now, random);
}

bool Exchange::readmitUnreached(base::Instant now)
{
    bool isAnyLeft = std::any_of(m_unreached.begin(), m_unreached.end(), [&](const auto& upstream) { return m_fleet.acceptsRequests(upstream, now); });
    std::erase_if(m_unreached, [&](const fleet::UpstreamInstance& upstream) {
        if (!m_fleet.takesWork(upstream, now))
            return false;
        std::erase(m_excluded, upstream.id);
        return true;
    });
    return isAnyLeft;
}

// Clients give up a stream after a gap of two seconds or more.
static constexpr base::Duration maxTakeUpWait = std::chrono::milliseconds(1500);

Step Exchange::placeOrWait(base::Instant now, uint64_t random)
{
    if (now < m_nextPlacementAt)
        return {};
    if (m_isWaitingForRetry && !acquireSharedRetry(now))
        return waitForRetry(now);
    m_isWaitingForRetry = false;
    auto placement = m_fleet.place(query(now, random));
    if (placement)
        return send(std::move(*placement), now);
    if (m_fleet.areAllLeaving(m_request.service, now))
        return giveUp(AttemptOutcome::NotConnected);
    if (m_waitingSince == base::Instant {})
        m_waitingSince = now;
    auto waitsUntil = m_waitingSince + scaled(m_request.route->latencyObjective, m_policy.maxWaitObjectiveShare);
    // No other node has upstreams of another version for it, and the client has few tries left.
    if (m_origin && isTakenUp())
        waitsUntil = std::max(waitsUntil, m_waitingSince + maxTakeUpWait);
    auto deferredUntil = m_fleet.deferredUntil(query(now, random));
    bool canRefuse = !m_mayHaveRun && !m_areHeadersSent;
    if (deferredUntil && *deferredUntil >= waitsUntil && canRefuse)
        return refuseWhileDeferred(*deferredUntil - now, now, random);
    bool mayGoOn = readmitUnreached(now) || deferredUntil;
    if (now < waitsUntil)
        return {};
    // The client can get nothing but the rest of the stream.
    if (m_areHeadersSent && mayGoOn) {
        m_nextPlacementAt = now + m_policy.placementInterval;
        return {};
    }
    // No attempt was made. A request that has not run is refused with NoUpstream.
    return giveUp(AttemptOutcome::NotConnected);
}

Step Exchange::send(fleet::Placement placement, base::Instant now)
{
    if (!tryBeginTrial(now)) {
        m_fleet.release(placement);
        m_waitingSince = {};
        return refuseQuarantined(now);
    }
    SendParameters parameters;
    parameters.usesBackup = m_backupAddress && placement.target.address == *m_backupAddress;
    parameters.placement = placement;
    parameters.lastEventId = m_lastEventId;
    parameters.timeout = deadline() - now;
    // A reused connection may break for unrelated reasons, which would count as another crash of the request.
    bool wasContacted = std::find(m_contacted.begin(), m_contacted.end(), placement.target.id) != m_contacted.end();
    parameters.allowsReusedConnection = !wasContacted && !isSuspect(now);
    m_isFirstContact = !wasContacted;
    if (!wasContacted)
        m_contacted.push_back(placement.target.id);
    m_backupAddress.reset();
    m_placement = std::move(placement);
    m_waitingSince = {};
    m_sentAt = now;
    m_lastActivity = now;
    m_lastProgress = {};
    m_lastProbe = now;
    m_isConnecting = false;
    m_isProbing = false;
    m_isUnreachable = false;
    m_isProbedDuringOutage = false;
    m_hasEvent = false;
    recordStart(now);
    ++m_sends;
    return { StepKind::Send, std::move(parameters) };
}

Step Exchange::refuse(ResultCode code) const
{
    return { StepKind::Refuse, {}, code, m_policy.retryAfter };
}

Step Exchange::refuseDraining() const
{
    auto step = refuse(ResultCode::Draining);
    step.retryAfter = m_policy.retryElsewhereAfter;
    return step;
}

Step Exchange::stopWaiting() const
{
    bool isWaiting = !m_placement && !m_mayHaveRun && !m_areHeadersSent;
    return isWaiting ? refuseDraining() : Step {};
}

Step Exchange::stopBeforeSend()
{
    if (m_mayHaveRun || m_areHeadersSent)
        return {};
    cancelTrial();
    release();
    return refuseDraining();
}

Step Exchange::abandon() const
{
    bool isInFlight = m_placement && !m_isConnecting;
    bool hasRun = m_mayHaveRun || isInFlight;
    if (!hasRun && !m_areHeadersSent)
        return refuseDraining();
    return giveUp(AttemptOutcome::Silent);
}

static std::optional<fleet::SuspicionCause> suspicionCauseFor(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotConnected:
        return fleet::SuspicionCause::Unreachable;
    case AttemptOutcome::NotRun:
        return fleet::SuspicionCause::AtCapacity;
    case AttemptOutcome::Misdirected:
        return fleet::SuspicionCause::Replaced;
    case AttemptOutcome::Malformed:
        return fleet::SuspicionCause::Malformed;
    case AttemptOutcome::LostBeforeResponse:
    case AttemptOutcome::LostDuringResponse:
        return fleet::SuspicionCause::ConnectionLost;
    case AttemptOutcome::Silent:
        return fleet::SuspicionCause::Silent;
    case AttemptOutcome::Completed:
    case AttemptOutcome::Rejected:
    case AttemptOutcome::UpstreamError:
    case AttemptOutcome::BackupMissing:
        break;
    }
    return std::nullopt;
}

bool Exchange::isRetryAllowed(AttemptOutcome outcome, unsigned possibleRuns, unsigned reachedAttempts, base::Instant now)
{
    if (now >= deadline() || reachedAttempts >= m_policy.maxReachedAttempts || isQuarantined(now))
        return false;
    return !mayHaveRun(outcome) || (m_request.route->isRepeatable() && possibleRuns < m_request.route->maxAttempts);
}

bool Exchange::acquireRetry(AttemptOutcome outcome, base::Instant now)
{
    // An attempt that did not reach the upstream causes no load there, so it does not use the shared retry budget.
    return outcome == AttemptOutcome::NotConnected || acquireSharedRetry(now);
}

bool Exchange::acquireSharedRetry(base::Instant now)
{
    if (m_fleet.tryAcquireRetry(m_request.service, m_request.retries, now))
        return true;
    if (!std::exchange(m_isRetryDenialLogged, true))
        LOG(WARNING) << log::LogLine("retry_denied").with("request", m_request.attempt.text).with("service", m_request.service.text).with("sends", m_sends).with("runs", m_possibleRuns).with("in_flight", m_placement ? 1 : 0).text();
    return false;
}

Step Exchange::attemptEnded(AttemptOutcome outcome, base::Instant now, uint64_t random)
{
    if (outcome == AttemptOutcome::Silent)
        outcome = silentOutcome();
    recordAttemptEnd(outcome, now);
    if (isDeliverable(outcome))
        return { StepKind::Deliver };
    if (!isRetryAllowed(outcome, m_possibleRuns, m_reachedAttempts, now))
        return giveUp(outcome);
    if (!acquireRetry(outcome, now))
        return m_areHeadersSent ? waitForRetry(now) : giveUp(outcome);
    return place(now, random);
}

Step Exchange::waitForRetry(base::Instant now)
{
    m_isWaitingForRetry = true;
    m_waitingSince = now;
    m_nextPlacementAt = now + m_policy.placementInterval;
    return {};
}

AttemptOutcome Exchange::judgeStreamEnd()
{
    bool isConfirmed = !m_areHeadersSent || m_hasEvent || m_isEndReported;
    m_isEndReported = true;
    return isConfirmed ? AttemptOutcome::Completed : AttemptOutcome::Malformed;
}

Step Exchange::attemptNotStarted(base::Instant now)
{
    if (!m_placement)
        return {};
    release();
    --m_sends;
    if (!m_mayHaveRun)
        cancelTrial();
    if (m_isFirstContact)
        m_contacted.pop_back();
    if (m_noResourcesSince == base::Instant {})
        m_noResourcesSince = now;
    bool isWaitOver = now - m_noResourcesSince >= scaled(m_request.route->latencyObjective, m_policy.maxWaitObjectiveShare);
    if (isWaitOver && !m_areHeadersSent)
        return giveUp(AttemptOutcome::NotConnected);
    if (isWaitOver)
        m_nextPlacementAt = now + m_policy.placementInterval;
    m_waitingSince = m_noResourcesSince;
    return {};
}

void Exchange::recordAttemptEnd(AttemptOutcome outcome, base::Instant now)
{
    m_noResourcesSince = {};
    if (mayHaveRun(outcome)) {
        ++m_possibleRuns;
        m_mayHaveRun = true;
    } else if (!m_mayHaveRun) {
        cancelTrial();
    }
    if (outcome == AttemptOutcome::UpstreamError)
        m_hasFailureResponse = true;
    if (outcome != AttemptOutcome::NotConnected)
        ++m_reachedAttempts;
    auto ended = std::move(m_placement);
    m_placement.reset();
    if (ended) {
        m_fleet.release(*ended);
        updateCrashEvidence(outcome, ended->target, now);
        auto cause = suspicionCauseFor(outcome);
        bool isSuspected = m_isUnreachable && outcome == silentOutcome();
        if (!cause)
            m_fleet.clearSuspicion(ended->target);
        else if (!isSuspected)
            m_fleet.suspect(ended->target, *cause, now);
        if (outcome != AttemptOutcome::BackupMissing)
            m_excluded.push_back(ended->target.id);
        if (outcome == AttemptOutcome::NotConnected)
            m_unreached.push_back(ended->target);
        // A backup exists only after the run has produced an event.
        if (mayHaveRun(outcome) && ended->backup && m_hasEvent)
            m_backupAddress = ended->backup->address;
    }
}

Step Exchange::replaceSilentAttempt(SilenceReason reason, base::Instant now, uint64_t random)
{
    auto outcome = silentOutcome();
    auto possibleRuns = m_possibleRuns + (mayHaveRun(outcome) ? 1 : 0);
    auto reachedAttempts = m_reachedAttempts + (outcome == AttemptOutcome::NotConnected ? 0 : 1);
    if (!isRetryAllowed(outcome, possibleRuns, reachedAttempts, now))
        return {};
    auto nextQuery = query(now, random);
    nextQuery.excluded.push_back(m_placement->target.id);
    if (mayHaveRun(outcome) && m_placement->backup && m_hasEvent)
        nextQuery.preferredAddress = m_placement->backup->address;
    auto next = m_fleet.place(nextQuery);
    if (!next)
        return {};
    if (!acquireRetry(outcome, now)) {
        m_fleet.release(*next);
        return {};
    }
    auto replaced = describeSilence(reason, now);
    recordAttemptEnd(outcome, now);
    auto step = send(std::move(*next), now);
    step.send.replaced = replaced;
    return step;
}

SilentAttempt Exchange::describeSilence(SilenceReason reason, base::Instant now) const
{
    auto since = [&](base::Instant at) { return at == base::Instant {} ? std::nullopt : std::optional(now - at); };
    SilentAttempt attempt;
    attempt.reason = reason;
    attempt.silence = now - m_lastActivity;
    if (m_hasEvent)
        attempt.sinceEvent = since(m_lastProgress);
    attempt.sinceContact = since(m_fleet.lastContactAt(m_placement->target));
    attempt.sinceAnyContact = since(m_fleet.lastContactAt(m_request.service));
    return attempt;
}

void Exchange::recordProgress(base::Instant now)
{
    m_crashes.requests.recordProgress(m_request.fingerprint, now);
    m_crashes.parts.recordProgress(m_request.promptParts, now);
}

void Exchange::updateCrashEvidence(AttemptOutcome outcome, const fleet::UpstreamInstance& upstream, base::Instant now)
{
    // An upstream may reject a request, or end its stream, before it reads a prompt part.
    bool hasReadPrompt = outcome == AttemptOutcome::Completed && (!isStream() || m_hasEvent);
    if (hasReadPrompt)
        recordProgress(now);
    else if (isDeliverable(outcome) || outcome == AttemptOutcome::UpstreamError)
        m_crashes.requests.recordFailureResponse(m_request.fingerprint);
    bool isLost = outcome == AttemptOutcome::LostBeforeResponse || outcome == AttemptOutcome::LostDuringResponse;
    if (!isLost || m_hasEvent)
        return;
    // During a suspected outage of the data centre the request is not the likely cause. Crashes on a part that is
    // already suspect look like an outage if they are frequent.
    bool isOutage = m_fleet.isOutageSuspected(upstream, now);
    if (!isOutage)
        m_crashes.requests.recordCrash({ m_request.fingerprint, m_sentAt, now });
    if (!isOutage || m_crashes.parts.isSuspect(m_request.promptParts))
        m_crashes.parts.recordCrash({ 0, m_request.fingerprint, upstream.id, m_request.promptParts, m_sentAt, now }, now);
}

Step Exchange::backupRefused(base::Instant now, uint64_t random)
{
    if (!m_placement)
        return {};
    // The upstream says that it takes no more work, so the refusal is its own.
    if (!m_fleet.acceptsRequests(m_placement->target, now))
        return attemptEnded(AttemptOutcome::NotRun, now, random);
    if (m_placement->backup)
        m_fleet.suspect(*m_placement->backup, fleet::SuspicionCause::Unreachable, now);
    ++m_reachedAttempts;
    if (!m_mayHaveRun)
        cancelTrial();
    // A part may have been quarantined while the upstream tried to reach the backup.
    auto outcome = AttemptOutcome::NotRun;
    if (!isRetryAllowed(outcome, m_possibleRuns, m_reachedAttempts, now) || !acquireRetry(outcome, now))
        return giveUp(outcome);
    m_fleet.replaceBackup(*m_placement, query(now, random));
    return send(*m_placement, now);
}

Step Exchange::giveUp(AttemptOutcome outcome) const
{
    if (m_hasFailureResponse && !m_areHeadersSent)
        return { StepKind::Deliver };
    if (!m_mayHaveRun && !mayHaveRun(outcome) && !m_areHeadersSent)
        return refuse(outcome == AttemptOutcome::NotRun ? ResultCode::QueueFull : ResultCode::NoUpstream);
    return { StepKind::Fail, {}, m_areHeadersSent ? ResultCode::StreamLost : ResultCode::OutcomeUnknown };
}

void Exchange::recordActivity(base::Instant now)
{
    m_isConnecting = false;
    m_isUnreachable = false;
    m_noResourcesSince = {};
    m_lastActivity = now;
    if (m_placement)
        m_fleet.recordContact(m_placement->target, now);
}

void Exchange::recordEvent(std::optional<uint64_t> eventId, base::Instant now)
{
    if (eventId)
        m_lastEventId = eventId;
    m_isEndReported = false;
    m_lastActivity = now;
    m_lastProgress = now;
    if (!m_hasEvent && m_placement) {
        recordProgress(now);
        m_fleet.markPrefilled(*m_placement);
        m_fleet.clearSuspicion(m_placement->target);
    }
    if (!m_origin && m_placement && isStream())
        m_origin = { m_request.service, m_placement->target.version };
    m_hasEvent = true;
}

void Exchange::recordPartialEvent(base::Instant now)
{
    if (m_lastProgress == base::Instant {})
        m_lastProgress = now;
}

void Exchange::discountPause(base::Duration pause, base::Instant now)
{
    for (auto* instant : { &m_sentAt, &m_lastActivity, &m_lastProgress, &m_lastProbe }) {
        if (*instant != base::Instant {})
            *instant = std::min(*instant + pause, now);
    }
}

Step Exchange::probeEnded(bool isReachable, base::Instant now, uint64_t random)
{
    m_isProbing = false;
    m_lastProbe = now;
    if (!m_placement)
        return {};
    m_isUnreachable = !isReachable;
    if (isReachable) {
        m_fleet.recordContact(m_placement->target, now);
        return {};
    }
    // Other requests must avoid the upstream even if this one has to stay.
    m_fleet.suspect(m_placement->target, *suspicionCauseFor(silentOutcome()), now);
    return replaceSilentAttempt(SilenceReason::Unreachable, now, random);
}

Step Exchange::tick(base::Instant now, uint64_t random)
{
    if (now >= deadline()) {
        // A refusal states that the request was not run, but an attempt in flight may be running it.
        bool canRefuse = !m_mayHaveRun && !m_areHeadersSent && !m_placement;
        if (canRefuse)
            return refuse(ResultCode::DeadlinePassed);
        return { StepKind::TimeOut, {}, ResultCode::DeadlinePassed };
    }
    if (!m_placement)
        return m_waitingSince == base::Instant {} && !m_queuedWork && !m_isAwaitingOrigin ? Step {} : place(now, random);
    return handleSilence(now, random);
}

// The last attempt may take until the deadline. An earlier one must bring its whole response within the objective,
// however steadily its bytes arrive.
bool Exchange::isIdempotentAttemptLate(base::Instant now) const
{
    const auto& route = *m_request.route;
    if (m_possibleRuns + 1 >= route.maxAttempts)
        return false;
    bool isSilent = now - m_lastActivity > scaled(route.latencyObjective, m_policy.attemptTimeoutShare);
    return isSilent || now - m_sentAt > route.latencyObjective;
}

// Before its first event begins, a stream may wait for its prefill.
bool Exchange::isStreamStalled(base::Instant now) const
{
    return m_lastProgress != base::Instant {} && now - m_lastProgress > scaled(m_request.route->gapObjective, m_policy.abandonGapMultiple);
}

Step Exchange::handleSilence(base::Instant now, uint64_t random)
{
    const auto& route = *m_request.route;
    if (route.kind == manifest::RouteKind::Idempotent)
        return isIdempotentAttemptLate(now) ? replaceSilentAttempt(SilenceReason::Late, now, random) : Step {};
    if (!isStream() || !route.isResumable || m_isProbing)
        return {};
    if (m_isUnreachable || isStreamStalled(now)) {
        auto step = replaceSilentAttempt(m_isUnreachable ? SilenceReason::Unreachable : SilenceReason::Stalled, now, random);
        if (step.kind != StepKind::Wait)
            return step;
    }
    auto wait = m_hasEvent ? scaled(route.gapObjective, m_policy.probeAfterGapShare) : m_policy.probeInterval;
    // Upstreams fail together during an outage of their data centre, so one additional probe is enough.
    bool isOutageSuspected = m_fleet.isOutageSuspected(m_placement->target, now);
    if (isOutageSuspected && !m_isProbedDuringOutage)
        wait = std::min(wait, m_policy.outageProbeDelay);
    // Bytes of another stream from the same upstream prove as much as a probe does.
    auto lastContactAt = std::max(m_lastActivity, m_fleet.lastContactAt(m_placement->target));
    if (now - lastContactAt < wait || now - m_lastProbe < wait)
        return {};
    m_isProbing = true;
    m_isProbedDuringOutage = isOutageSuspected;
    m_lastProbe = now;
    return { StepKind::Probe };
}

} // namespace redwingseam::forward
