#include "fleet/Fleet.h"

#include "fleet/VersionMatch.h"
#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace redwingseam::fleet {

void Fleet::update(const std::vector<UpstreamInstance>& listed, base::Instant readBegan, base::Duration grace)
{
    std::unordered_map<base::ServiceName, std::vector<UpstreamInstance>> byService;
    for (const auto& instance : listed)
        byService[instance.service].push_back(instance);
    // The update includes pools whose upstreams have all disappeared from the list.
    m_pools.forEach([&](PoolMap& pools) {
        for (auto& [service, pool] : pools)
            pool.update(byService[service], readBegan, grace);
    });
    for (const auto& item : byService)
        withPool(item.first, [&](UpstreamPool& pool) { pool.update(item.second, readBegan, grace); });
    m_listedAt = readBegan;
}

std::optional<Placement> Fleet::place(const PlacementQuery& query)
{
    return withPool(query.service, [&](UpstreamPool& pool) { return pool.place(query, m_localDataCentre); });
}

bool Fleet::isFull(const PlacementQuery& query)
{
    return withPool(query.service, [&](UpstreamPool& pool) { return pool.isFull(query); });
}

void Fleet::markPrefilled(Placement& placement)
{
    withPool(placement.target.service, [&](UpstreamPool& pool) { pool.markPrefilled(placement); });
}

void Fleet::release(const Placement& placement)
{
    withPool(placement.target.service, [&](UpstreamPool& pool) { pool.release(placement); });
}

void Fleet::replaceBackup(Placement& placement, const PlacementQuery& query)
{
    withPool(placement.target.service, [&](UpstreamPool& pool) { pool.replaceBackup(placement, query, m_localDataCentre); });
}

void Fleet::suspect(const UpstreamInstance& instance, SuspicionCause cause, base::Instant now)
{
    if (OwnLinkHealth::mayBeOwn(cause)) {
        m_ownLink.recordFailure(instance, now);
        if (m_ownLink.judge(now) == LinkJudgement::Doubtful) {
            withPool(instance.service, [&](UpstreamPool& pool) { pool.avoidBriefly(instance.id, now); });
            holdBackReports();
            return;
        }
    }
    withPool(instance.service, [&](UpstreamPool& pool) { pool.suspect(instance.id, cause, now); });
    if (!isShared(cause))
        return;
    std::lock_guard guard(m_reportsMutex);
    if (m_reports.size() < maxReports)
        m_reports.push_back({ instance.id, instance.service, cause, now, instance.incarnation });
}

void Fleet::holdBackReports()
{
    size_t waiting = 0;
    {
        std::lock_guard guard(m_reportsMutex);
        waiting = std::erase_if(m_reports, [](const SuspicionReport& report) { return OwnLinkHealth::mayBeOwn(report.cause); });
    }
    m_ownLink.countHeldBack(waiting + 1);
}

void Fleet::recordConnected(const UpstreamInstance& instance, base::Instant now)
{
    m_ownLink.recordConnected(instance, now);
}

void Fleet::recordPeerAnswer(base::Duration elapsed, base::Instant now)
{
    m_ownLink.recordPeerAnswer(elapsed, now);
}

void Fleet::clearSuspicion(const UpstreamInstance& instance)
{
    withPool(instance.service, [&](UpstreamPool& pool) { pool.clearSuspicion(instance.id); });
}

void Fleet::recordLeaving(const UpstreamInstance& instance, base::Instant now)
{
    if (!withPool(instance.service, [&](UpstreamPool& pool) { return pool.recordLeaving(instance.id, instance.incarnation, now); }))
        return;
    LOG(INFO) << log::LogLine("upstream_leaving").with("upstream", instance.id.text).with("incarnation", instance.incarnation).with("from", "upstream").text();
    std::lock_guard guard(m_reportsMutex);
    if (m_leavingReports.size() < maxReports)
        m_leavingReports.push_back({ instance.id, instance.service, instance.incarnation });
}

void Fleet::applyLeavingReport(const LeavingReport& report, base::Instant now)
{
    if (withPool(report.service, [&](UpstreamPool& pool) { return pool.recordLeaving(report.upstream, report.incarnation, now); }))
        LOG(INFO) << log::LogLine("upstream_leaving").with("upstream", report.upstream.text).with("incarnation", report.incarnation).with("from", "peer").text();
}

void Fleet::deferRequests(const UpstreamInstance& instance, base::Duration wait, base::Instant now)
{
    auto bounded = withPool(instance.service, [&](UpstreamPool& pool) { return pool.deferRequests(instance, wait, now); });
    auto millis = [](base::Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); };
    LOG(INFO) << log::LogLine("upstream_defers_requests").with("upstream", instance.id.text).with("incarnation", instance.incarnation).with("wait_ms", millis(bounded)).with("asked_ms", millis(wait)).text();
}

std::optional<base::Instant> Fleet::deferredUntil(const PlacementQuery& query)
{
    return withPool(query.service, [&](UpstreamPool& pool) { return pool.deferredUntil(query); });
}

bool Fleet::serves(const base::ServiceName& service, const base::SoftwareVersion& version, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.serves(version, now); });
}

std::vector<base::SoftwareVersion> Fleet::versionsSince(const base::ServiceName& service, base::Instant since)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.versions().servedSince(since); });
}

void Fleet::recordVersion(const base::ServiceName& service, const base::SoftwareVersion& version, base::Instant at)
{
    withPool(service, [&](UpstreamPool& pool) { pool.versions().record(version, at); });
}

VersionWeights Fleet::versionWeights(const base::ServiceName& service)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.versionWeights(); });
}

base::SoftwareVersion Fleet::assignedVersion(const base::ServiceName& service, const base::ClientAttemptId& attempt)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.versionWeights().assigned(attempt); });
}

bool Fleet::isCurrent(const UpstreamInstance& instance)
{
    return withPool(instance.service, [&](UpstreamPool& pool) {
        const auto* entry = pool.find(instance.id);
        return !entry || (entry->instance.incarnation == instance.incarnation && isCompatible(instance.version, entry->instance.version));
    });
}

std::vector<LeavingReport> Fleet::takeLeavingReports()
{
    std::lock_guard guard(m_reportsMutex);
    return std::exchange(m_leavingReports, {});
}

bool Fleet::acceptsRequests(const UpstreamInstance& instance, base::Instant now)
{
    return withPool(instance.service, [&](UpstreamPool& pool) {
        const auto* entry = pool.find(instance.id);
        return entry && entry->instance.incarnation == instance.incarnation && entry->acceptsRequests(now);
    });
}

bool Fleet::areAllLeaving(const base::ServiceName& service, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.areAllLeaving(now); });
}

void Fleet::recordContact(const UpstreamInstance& instance, base::Instant now)
{
    withPool(instance.service, [&](UpstreamPool& pool) { pool.recordContact(instance.id, now); });
}

base::Instant Fleet::lastContactAt(const UpstreamInstance& instance)
{
    return withPool(instance.service, [&](UpstreamPool& pool) {
        const auto* entry = pool.find(instance.id);
        return entry ? entry->lastContactAt : base::Instant {};
    });
}

base::Instant Fleet::lastContactAt(const base::ServiceName& service)
{
    return withPool(service, [](UpstreamPool& pool) {
        base::Instant last {};
        for (const auto& entry : pool.entries())
            last = std::max(last, entry.lastContactAt);
        return last;
    });
}

bool Fleet::isOutageSuspected(const UpstreamInstance& instance, base::Instant now)
{
    return withPool(instance.service, [&](UpstreamPool& pool) { return pool.isOutageSuspected(instance.dataCentre, now); });
}

bool Fleet::takesWork(const UpstreamInstance& instance, base::Instant now)
{
    return withPool(instance.service, [&](UpstreamPool& pool) {
        const auto* entry = pool.find(instance.id);
        return entry && entry->takesWork(now);
    });
}

size_t Fleet::usableCount(const base::ServiceName& service, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) {
        const auto& entries = pool.entries();
        return static_cast<size_t>(std::count_if(entries.begin(), entries.end(), [&](const PoolEntry& entry) { return entry.takesWork(now); }));
    });
}

void Fleet::setPeerLoads(const LoadMap& loads)
{
    m_pools.forEach([&](PoolMap& pools) {
        for (auto& [service, pool] : pools)
            pool.setPeerLoads(loads);
    });
}

LoadMap Fleet::localLoads()
{
    LoadMap loads;
    m_pools.forEach([&](PoolMap& pools) {
        for (const auto& [service, pool] : pools) {
            for (const auto& entry : pool.entries()) {
                if (!(entry.localLoad == UpstreamLoad {}))
                    loads.emplace(entry.instance.id, entry.localLoad);
            }
        }
    });
    return loads;
}

void Fleet::applySuspicionReport(const SuspicionReport& report)
{
    withPool(report.service, [&](UpstreamPool& pool) { pool.applySuspicionReport(report); });
}

std::vector<SuspicionReport> Fleet::takeSuspicionReports()
{
    std::lock_guard guard(m_reportsMutex);
    return std::exchange(m_reports, {});
}

void Fleet::countRequest(const base::ServiceName& service, base::Instant now)
{
    withPool(service, [&](UpstreamPool& pool) { pool.retryBudget().countRequest(now); });
}

void Fleet::recordAcceptance(const UpstreamInstance& instance, bool isRefused, base::Instant now)
{
    double share = 0;
    bool isNews = withPool(instance.service, [&](UpstreamPool& pool) {
        bool hasChanged = pool.recordAcceptance(instance.id, isRefused, now);
        share = pool.acceptedShare(now);
        return hasChanged;
    });
    static constexpr double percent = 100;
    if (isNews)
        LOG(INFO) << log::LogLine(isRefused ? "service_crowded" : "service_has_room").with("service", instance.service.text).with("accepted_percent", static_cast<uint64_t>(percent * share)).text();
}

bool Fleet::isCrowded(const base::ServiceName& service, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.isCrowded(now); });
}

std::vector<base::ServiceName> Fleet::crowdedServices(base::Instant now)
{
    std::vector<base::ServiceName> crowded;
    m_pools.forEach([&](PoolMap& pools) {
        for (const auto& [service, pool] : pools) {
            if (pool.isCrowded(now))
                crowded.push_back(service);
        }
    });
    return crowded;
}

double Fleet::acceptedShare(const base::ServiceName& service, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.acceptedShare(now); });
}

bool Fleet::tryAcquireRetry(const base::ServiceName& service, const RetryLimits& limits, base::Instant now)
{
    auto nodeLimits = limits;
    nodeLimits.slack /= std::max(1U, m_nodeCount.load());
    return withPool(service, [&](UpstreamPool& pool) { return pool.retryBudget().tryAcquireRetry(nodeLimits, now); });
}

void Fleet::recordFirstEvent(const base::ServiceName& service, base::Duration duration, base::Instant now)
{
    withPool(service, [&](UpstreamPool& pool) { pool.firstEventTime().record(duration, now); });
}

base::Duration Fleet::firstEventTime(const base::ServiceName& service, base::Instant now)
{
    return withPool(service, [&](UpstreamPool& pool) { return pool.firstEventTime().mean(now); });
}

std::vector<PoolEntry> Fleet::entries()
{
    std::vector<PoolEntry> all;
    m_pools.forEach([&](PoolMap& pools) {
        for (const auto& [service, pool] : pools)
            all.insert(all.end(), pool.entries().begin(), pool.entries().end());
    });
    return all;
}

} // namespace redwingseam::fleet
