#include "origin/StreamOrigins.h"

#include "log/LogLine.h"

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

std::vector<base::SoftwareVersion> StreamOrigins::versionsOf(const base::ServiceName& service, base::Instant now)
{
    return m_fleet.versionsSince(service, now - m_lifetime.load());
}

std::optional<Resolution> StreamOrigins::resolveFromMemory(const base::ClientAttemptId& attempt, const base::ServiceName& service, base::Instant now)
{
    if (auto known = m_records.find(attempt))
        return conclude(attempt, Lookup { now }, *known, OriginSource::Memory, now);
    auto versions = versionsOf(service, now);
    if (m_isHistoryKnown && versions.size() == 1)
        return conclude(attempt, Lookup { now }, { service, versions.front() }, OriginSource::OnlyVersion, now);
    return std::nullopt;
}

Resolution StreamOrigins::resolve(const base::ClientAttemptId& attempt, const base::ServiceName& service, base::Instant now)
{
    if (auto known = resolveFromMemory(attempt, service, now))
        return *known;
    if (attempt.empty())
        return concludeUnknown(attempt, now, now);
    auto lookup = m_lookups.use(attempt, now);
    if (lookup.answer)
        return conclude(attempt, lookup, *lookup.answer, lookup.source, now);
    if (!lookup.isExhausted(now) && now - lookup.beganAt < maxWait)
        return { ResolutionKind::Pending };
    return concludeUnanswered(attempt, lookup, service, now);
}

Resolution StreamOrigins::concludeUnanswered(const base::ClientAttemptId& attempt, const Lookup& lookup, const base::ServiceName& service, base::Instant now)
{
    WeightHistory stated;
    {
        std::lock_guard guard(m_statedMutex);
        if (auto found = m_stated.find(service); found != m_stated.end())
            stated = found->second;
    }
    auto assigned = m_fleet.assignedVersion(service, attempt);
    if (!assigned.empty() && assigned == stated.assigned(attempt))
        return conclude(attempt, lookup, { service, assigned }, OriginSource::Assignment, now);
    // The store was never read. The list alone shows no version that has left.
    auto listed = m_fleet.versionsSince(service, now);
    if (!m_isHistoryKnown && listed.size() == 1)
        return conclude(attempt, lookup, { service, listed.front() }, OriginSource::OnlyVersion, now);
    return concludeUnknown(attempt, lookup.beganAt, now);
}

void StreamOrigins::setStated(const std::map<base::ServiceName, WeightHistory>& stated)
{
    std::lock_guard guard(m_statedMutex);
    m_stated = stated;
}

Resolution StreamOrigins::conclude(const base::ClientAttemptId& attempt, const Lookup& lookup, const StreamOrigin& origin, OriginSource source, base::Instant now)
{
    m_lookups.end(attempt);
    // What is only inferred is no knowledge to pass on.
    if (source == OriginSource::Store || source == OriginSource::Peer)
        m_records.learn({ attempt, origin }, false, now);
    LOG(INFO) << log::LogLine("stream_origin").with("stream", attempt.text).with("service", origin.service.text).with("version", origin.version.text).with("from", base::nameOf(source)).with("waited_ms", millisOf(now - lookup.beganAt)).with("list_age_ms", millisOf(now - m_fleet.listedAt())).with("versions", versionsOf(origin.service, now).size()).text();
    return { ResolutionKind::Known, origin };
}

Resolution StreamOrigins::concludeUnknown(const base::ClientAttemptId& attempt, base::Instant beganAt, base::Instant now)
{
    m_lookups.end(attempt);
    LOG(WARNING) << log::LogLine("stream_origin_unknown").with("stream", attempt.text).with("waited_ms", millisOf(now - beganAt)).with("list_age_ms", millisOf(now - m_fleet.listedAt())).text();
    return { ResolutionKind::Unknown };
}

std::vector<StreamRecord> StreamOrigins::takeUnwritten(base::Instant now)
{
    std::map<base::ServiceName, bool> hasSeveral;
    return m_records.takeUnwritten(now - m_lifetime.load(), [&](const base::ServiceName& service) {
        auto [item, isNew] = hasSeveral.try_emplace(service, false);
        if (isNew)
            item->second = versionsOf(service, now).size() > 1;
        return item->second;
    });
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
