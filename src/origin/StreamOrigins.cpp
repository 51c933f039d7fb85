#include "origin/StreamOrigins.h"

#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <mutex>

namespace redwingseam::origin {

static uint64_t millisOf(base::Duration duration)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void StreamOrigins::recordSent(const base::ClientAttemptId& attempt, const StreamOrigin& origin, base::Instant now)
{
    // Without an id no client can name the stream.
    if (!attempt.empty())
        m_records.recordSent({ attempt, origin }, now);
}

void StreamOrigins::recordClientTime(base::Duration time)
{
    auto bounded = std::min(time, maxClientTime);
    auto longest = m_longestClientTime.load();
    while (longest < bounded && !m_longestClientTime.compare_exchange_weak(longest, bounded)) { }
}

std::vector<base::SoftwareVersion> StreamOrigins::versionsOf(const base::ServiceName& service, base::Instant now)
{
    return m_fleet.versionsSince(service, now - m_lifetime.load());
}

std::optional<InferredOrigin> StreamOrigins::onlyVersion(const base::ServiceName& service, base::Instant now)
{
    auto versions = versionsOf(service, now);
    if (m_isHistoryKnown && versions.size() == 1)
        return InferredOrigin { { service, versions.front() }, OriginSource::OnlyVersion };
    return std::nullopt;
}

Resolution StreamOrigins::resolve(const TakeUp& takeUp, base::Instant now)
{
    if (auto known = m_records.find(takeUp.attempt))
        return conclude(takeUp, *known, OriginSource::Memory, now);
    // Asked before the list is used, which may be replaced in between.
    bool isListCurrent = m_listCurrency.covers(takeUp.arrivedAt);
    auto only = onlyVersion(takeUp.service, now);
    if (only && isListCurrent)
        return conclude(takeUp, only->origin, only->source, now);
    if (takeUp.attempt.empty())
        return resolveUnnamed(takeUp, isListCurrent, now);
    if (only)
        m_listCurrency.requestCheck(takeUp.arrivedAt, now);
    if (only && now - takeUp.arrivedAt < listCheckTime)
        return { ResolutionKind::Pending };
    return lookUp(takeUp, only, isListCurrent, now);
}

Resolution StreamOrigins::resolveUnnamed(const TakeUp& takeUp, bool isListCurrent, base::Instant now)
{
    bool mayBeOfOnlyVersion = versionsOf(takeUp.service, now).size() <= 1;
    if (mayBeOfOnlyVersion && now - takeUp.arrivedAt < maxWait) {
        m_listCurrency.requestCheck(takeUp.arrivedAt, now);
        return { ResolutionKind::Pending };
    }
    auto only = onlyListedVersion(takeUp.service, now);
    return only && isListCurrent ? conclude(takeUp, only->origin, only->source, now) : concludeUnknown(takeUp, now);
}

std::optional<InferredOrigin> StreamOrigins::onlyListedVersion(const base::ServiceName& service, base::Instant now)
{
    auto listed = m_fleet.versionsSince(service, now);
    if (!m_isHistoryKnown && listed.size() == 1)
        return InferredOrigin { { service, listed.front() }, OriginSource::OnlyVersion };
    return std::nullopt;
}

Resolution StreamOrigins::lookUp(const TakeUp& takeUp, const std::optional<InferredOrigin>& only, bool isListCurrent, base::Instant now)
{
    auto lookup = m_lookups.use(takeUp.attempt, now);
    if (lookup.answer)
        return conclude(takeUp, *lookup.answer, lookup.source, now);
    bool isLate = now - lookup.beganAt >= maxWait;
    if (!lookup.isExhausted(now) && !isLate)
        return { ResolutionKind::Pending };
    auto inferred = only ? only : inferUnanswered(takeUp, lookup, now);
    if (inferred && isListCurrent)
        return conclude(takeUp, inferred->origin, inferred->source, now);
    if (!inferred || isLate)
        return concludeUnknown(takeUp, now);
    m_listCurrency.requestCheck(takeUp.arrivedAt, now);
    return { ResolutionKind::Pending };
}

std::optional<InferredOrigin> StreamOrigins::inferUnanswered(const TakeUp& takeUp, const Lookup& lookup, base::Instant now)
{
    WeightHistory stated;
    {
        std::lock_guard guard(m_statedMutex);
        if (auto found = m_stated.find(takeUp.service); found != m_stated.end())
            stated = found->second;
    }
    auto assigned = m_fleet.assignedVersion(takeUp.service, takeUp.attempt);
    if (!assigned.empty() && assigned == stated.assigned(takeUp.attempt))
        return InferredOrigin { { takeUp.service, assigned }, OriginSource::Assignment };
    if (auto inferred = inferFromAbsence(takeUp, lookup, now))
        return inferred;
    return onlyListedVersion(takeUp.service, now);
}

std::optional<InferredOrigin> StreamOrigins::inferFromAbsence(const TakeUp& takeUp, const Lookup& lookup, base::Instant now)
{
    auto oldest = m_unrecordedTimes.timeOfDay(now - (m_lifetime.load() - takeUp.timeLeft));
    auto gaps = m_unrecordedTimes.gapsOf(lookup, oldest);
    if (!gaps)
        return std::nullopt;
    auto present = m_fleet.versionWeights(takeUp.service);
    std::lock_guard guard(m_statedMutex);
    auto found = m_statedInEra.find(takeUp.service);
    auto assigned = found == m_statedInEra.end() ? base::SoftwareVersion {} : found->second.assignedWithin(*gaps, oldest, present, takeUp.attempt);
    return assigned.empty() ? std::nullopt : std::optional(InferredOrigin { { takeUp.service, assigned }, OriginSource::Absence });
}

void StreamOrigins::setStated(const std::map<base::ServiceName, WeightHistory>& stated)
{
    std::lock_guard guard(m_statedMutex);
    m_stated = stated;
}

Resolution StreamOrigins::conclude(const TakeUp& takeUp, const StreamOrigin& origin, OriginSource source, base::Instant now)
{
    m_lookups.end(takeUp.attempt);
    // What is only inferred is no knowledge to pass on.
    if (source == OriginSource::Store || source == OriginSource::Peer)
        m_records.learn({ takeUp.attempt, origin }, false, now);
    LOG(INFO) << log::LogLine("stream_origin").with("stream", takeUp.attempt.text).with("service", origin.service.text).with("version", origin.version.text).with("from", base::nameOf(source)).with("waited_ms", millisOf(now - takeUp.arrivedAt)).with("list_age_ms", millisOf(now - m_fleet.listedAt())).with("versions", versionsOf(origin.service, now).size()).text();
    return { ResolutionKind::Known, origin };
}

Resolution StreamOrigins::concludeUnknown(const TakeUp& takeUp, base::Instant now)
{
    m_lookups.end(takeUp.attempt);
    LOG(WARNING) << log::LogLine("stream_origin_unknown").with("stream", takeUp.attempt.text).with("waited_ms", millisOf(now - takeUp.arrivedAt)).with("list_age_ms", millisOf(now - m_fleet.listedAt())).text();
    return { ResolutionKind::Unknown };
}

void StreamOrigins::setStatedInEra(const std::map<base::ServiceName, WeightHistory>& stated)
{
    std::lock_guard guard(m_statedMutex);
    m_statedInEra = stated;
}

std::vector<StreamRecord> StreamOrigins::takeUnwritten(base::Instant now, bool wantsAll)
{
    std::map<base::ServiceName, bool> hasSeveral;
    auto isRecorded = [&](const base::ServiceName& service) {
        auto [item, isNew] = hasSeveral.try_emplace(service, false);
        if (isNew)
            item->second = versionsOf(service, now).size() > 1;
        return item->second;
    };
    return m_records.takeUnwritten(now - m_lifetime.load(), wantsAll, isRecorded);
}

std::vector<StreamRecord> StreamOrigins::find(const std::vector<base::ClientAttemptId>& attempts)
{
    std::vector<StreamRecord> found;
    for (const auto& attempt : attempts) {
        if (auto origin = m_records.find(attempt))
            found.push_back({ attempt, *origin });
    }
    return found;
}

} // namespace redwingseam::origin
