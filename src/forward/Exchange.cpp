#include "forward/Exchange.h"
#include "base/ScaledDuration.h"

#include <algorithm>

namespace redwingseam::forward {

using base::ResultCode;
using base::scaled;

// The response to an idempotent request is delivered only when it is complete, and such requests may run side by side.
static std::optional<base::Duration> keepLimitFor(manifest::RouteKind kind, const ExchangePolicy& policy)
{
    return kind == manifest::RouteKind::Stream ? std::optional(policy.keepBesideReplacement) : std::nullopt;
}

// Beyond the KV cache of any engine, for services that do not state its size.
static constexpr base::TokenCount maxEngineTokens = 1ULL << 32;

// Returns the KV cache of one engine of the service, if the manifest states it.
static std::optional<base::TokenCount> engineCapacity(const ExchangeRequest& request)
{
    const auto* service = request.index->service(request.service);
    if (!service || !service->engine || !service->engine->kvCapacityTokens)
        return std::nullopt;
    return std::min<base::TokenCount>(service->engine->kvCapacityTokens, maxEngineTokens);
}

static bool exceedsEngines(const ExchangeRequest& request)
{
    auto capacity = engineCapacity(request);
    return capacity && request.promptTokens > *capacity;
}

// A request takes no more of an engine than its whole KV cache, whatever the client states.
static ExchangeRequest boundedByEngine(ExchangeRequest request)
{
    auto capacity = engineCapacity(request).value_or(maxEngineTokens);
    request.promptTokens = std::min(request.promptTokens, capacity);
    request.maxOutputTokens = std::min(request.maxOutputTokens, capacity);
    return request;
}

Exchange::Exchange(ExchangeRequest request, fleet::Fleet& fleet, PlacementQueue& queue, CrashEvidence& crashes, origin::StreamOrigins& origins, const ExchangePolicy& policy)
    : m_exceedsEngines(exceedsEngines(request))
    , m_request(boundedByEngine(std::move(request)))
    , m_fleet(fleet)
    , m_queue(queue)
    , m_crashes(crashes)
    , m_origins(origins)
    , m_policy(policy)
    , m_attempts(keepLimitFor(m_request.route->kind, policy))
    , m_lastEventId(m_request.lastEventId)
{
}

Exchange::~Exchange()
{
    leaveQueue();
    if (m_attempts.current().placement && m_attempts.current().isConnecting && !isAttemptKept())
        cancelTrial();
    release();
    if (const auto& kept = m_attempts.kept())
        m_fleet.release(*kept->placement);
}

void Exchange::release()
{
    if (m_attempts.current().placement)
        m_fleet.release(*m_attempts.current().placement);
    m_attempts.current().placement.reset();
}

base::Instant Exchange::deadline() const
{
    return m_request.arrivedAt + std::min(m_request.clientTimeout, m_request.route->timeout);
}

Step Exchange::begin(base::Instant now, uint64_t random)
{
    // Each engine would reject it as if it were full.
    if (m_exceedsEngines)
        return refuse(ResultCode::RequestTooLarge);
    m_fleet.countRequest(m_request.service, now);
    if (auto refusal = refuseWhileCrowded(now, random))
        return *refusal;
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
    const auto& kept = m_attempts.kept();
    if (kept)
        query.excluded.push_back(kept->placement->target.id);
    query.preferredAddress = m_backupAddress;
    if (m_origin)
        query.version = m_origin->version;
    else if (kept && isStream())
        query.version = kept->placement->target.version;
    else if (isStream() && !m_request.attempt.empty())
        query.preferredVersion = m_fleet.assignedVersion(m_request.service, m_request.attempt);
    query.wantsBackup = m_request.route->isResumable;
    query.random = random;
    query.now = now;
    return query;
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

bool Exchange::readmitUnserved(base::Instant now)
{
    bool isAnyLeft = std::any_of(m_unserved.begin(), m_unserved.end(), [&](const auto& attempt) { return m_fleet.acceptsRequests(attempt.upstream, now); });
    std::erase_if(m_unserved, [&](const UnservedAttempt& attempt) {
        if (now < attempt.retryAt || !m_fleet.takesWork(attempt.upstream, now))
            return false;
        std::erase(m_excluded, attempt.upstream.id);
        return true;
    });
    return isAnyLeft;
}

// How long a stream that its client takes up waits for upstreams of its version. Clients give up after two seconds without an event.
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
    // Successors may be listed in a moment, and the client of a stream that has begun can get nothing but the rest of it.
    if (m_fleet.areAllLeaving(m_request.service, now) && !m_areHeadersSent)
        return giveUp(AttemptOutcome::NotConnected);
    if (m_waitingSince == base::Instant {})
        m_waitingSince = now;
    auto waitsUntil = m_waitingSince + scaled(m_request.route->latencyObjective, m_policy.maxWaitObjectiveShare);
    // It can only go on at upstreams of its version, at whatever node, and the client has few tries left.
    if (m_origin && isTakenUp())
        waitsUntil = std::max(waitsUntil, m_waitingSince + maxTakeUpWait);
    auto deferredUntil = m_fleet.deferredUntil(query(now, random));
    bool canRefuse = !m_mayHaveRun && !m_areHeadersSent;
    if (deferredUntil && *deferredUntil >= waitsUntil && canRefuse)
        return refuseWhileDeferred(*deferredUntil - now, now, random);
    bool mayGoOn = readmitUnserved(now) || deferredUntil;
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

std::optional<Step> Exchange::refuseWhileCrowded(base::Instant now, uint64_t random) const
{
    if (!isCrowdingBounded())
        return std::nullopt;
    // Independent of the bits that choose the upstream.
    static constexpr uint64_t steps = 4096;
    static constexpr unsigned shift = 40;
    auto drawn = static_cast<double>((random >> shift) % steps) / static_cast<double>(steps);
    auto askedShare = m_policy.crowdedAskRatio * m_fleet.acceptedShare(m_request.service, now);
    return drawn < askedShare ? std::nullopt : std::optional(refuseUntilRoom(deadline() - now, now, random));
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
    // A reused connection may break for unrelated reasons, which would count as another crash of the request. Nor does it show
    // that this node still reaches the upstream, in whose favour a silent one is given up.
    bool wasContacted = std::find(m_contacted.begin(), m_contacted.end(), placement.target.id) != m_contacted.end();
    parameters.allowsReusedConnection = !wasContacted && !isSuspect(now) && !isAttemptKept();
    if (!wasContacted)
        m_contacted.push_back(placement.target.id);
    m_backupAddress.reset();
    m_waitingSince = {};
    m_attempts.begin(std::move(placement), !wasContacted, now);
    m_attempts.current().isFromCopy = parameters.usesBackup;
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
    bool isWaiting = !m_attempts.current().placement && !m_mayHaveRun && !m_areHeadersSent;
    return isWaiting ? refuseDraining() : Step {};
}

Step Exchange::stopBeforeSend()
{
    if (mayHaveRunBefore() || m_areHeadersSent)
        return {};
    cancelTrial();
    release();
    return refuseDraining();
}

Step Exchange::abandon() const
{
    bool isInFlight = m_attempts.current().placement && !m_attempts.current().isConnecting;
    bool hasRun = mayHaveRunBefore() || isInFlight;
    if (!hasRun && !m_areHeadersSent)
        return refuseDraining();
    return giveUp(AttemptOutcome::Silent);
}

void Exchange::recordActivity(base::Instant now)
{
    if (std::exchange(m_attempts.current().isConnecting, false))
        m_attempts.current().writtenAt = now;
    m_attempts.current().recordActivity(now);
    m_noResourcesSince = {};
    if (m_attempts.current().placement)
        m_fleet.recordContact(m_attempts.current().placement->target, now);
}

void Exchange::recordEvent(std::optional<uint64_t> eventId, base::Instant now)
{
    dropKeptAttempt(now);
    if (eventId)
        m_lastEventId = eventId;
    m_isEndReported = false;
    m_attempts.current().lastActivity = now;
    m_attempts.current().lastProgress = now;
    if (!m_attempts.current().hasEvent && m_attempts.current().placement) {
        recordProgress(now);
        recordFirstEvent(now);
        m_fleet.markPrefilled(*m_attempts.current().placement);
        m_fleet.clearSuspicion(m_attempts.current().placement->target);
    }
    if (!m_origin && m_attempts.current().placement && isStream())
        m_origin = { m_request.service, m_attempts.current().placement->target.version };
    m_attempts.current().hasEvent = true;
}

void Exchange::recordFirstEvent(base::Instant now)
{
    const auto& attempt = m_attempts.current();
    if (isEngineRequest() && !attempt.isFromCopy)
        m_fleet.recordFirstEvent(m_request.service, now - attempt.sentAt, now);
}

void Exchange::recordPartialEvent(base::Instant now)
{
    if (m_attempts.current().lastProgress == base::Instant {})
        m_attempts.current().lastProgress = now;
}

void Exchange::discountPause(base::Duration pause, base::Instant now)
{
    m_attempts.discountPause(pause, now);
}

Step Exchange::tick(base::Instant now, uint64_t random)
{
    if (now >= deadline()) {
        // A refusal states that the request was not run, but an attempt in flight may be running it.
        bool canRefuse = !m_mayHaveRun && !m_areHeadersSent && !m_attempts.current().placement;
        if (canRefuse)
            return refuse(ResultCode::DeadlinePassed);
        return { StepKind::TimeOut, {}, ResultCode::DeadlinePassed };
    }
    if (!m_attempts.current().placement)
        return m_waitingSince == base::Instant {} && !m_queuedWork && !m_isAwaitingOrigin ? Step {} : place(now, random);
    if (m_attempts.isKeptOverdue(now)) {
        dropKeptAttempt(now);
        return {};
    }
    return handleSilence(now, random);
}

} // namespace redwingseam::forward
