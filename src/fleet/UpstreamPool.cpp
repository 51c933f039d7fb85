#include "fleet/UpstreamPool.h"

#include "fleet/VersionMatch.h"

#include <algorithm>

namespace redwingseam::fleet {

void UpstreamPool::update(const std::vector<UpstreamInstance>& listed, base::Instant readBegan, base::Duration grace)
{
    applyListing(listed, readBegan, grace);
    removeUnlisted(readBegan);
    rebuildIndex();
    for (const auto& instance : listed) {
        if (m_index.emplace(instance.id, m_entries.size()).second)
            m_entries.push_back(PoolEntry { instance });
    }
    countVersions(listed, readBegan);
    recordDraining(listed, readBegan);
    applyRefusals(readBegan);
    markSuperseded();
    countDataCentres(readBegan);
}

void UpstreamPool::removeUnlisted(base::Instant readBegan)
{
    std::erase_if(m_entries, [&](const PoolEntry& entry) {
        // An unlisted entry stays until its booked load is released.
        bool isGone = !entry.isListed && readBegan >= entry.graceEndsAt && entry.localLoad == UpstreamLoad {};
        if (isGone)
            m_refusals.recordRemoval(entry.instance);
        return isGone;
    });
}

// The copy from which a store is restored may still list an upstream as ready that has been draining since.
void UpstreamPool::recordDraining(const std::vector<UpstreamInstance>& listed, base::Instant now)
{
    for (const auto& instance : listed) {
        // Without a start time, a restarted upstream cannot be told from the one that was draining.
        if (instance.isDraining && instance.incarnation)
            m_refusals.recordLeaving(instance.id, instance.incarnation, now);
    }
}

void UpstreamPool::applyRefusals(base::Instant now)
{
    m_refusals.removeOld(now);
    for (auto& entry : m_entries)
        entry.refusal = m_refusals.refusalOf(entry.instance, now);
}

bool UpstreamPool::recordLeaving(const base::UpstreamName& id, uint64_t incarnation, base::Instant now)
{
    if (!m_refusals.recordLeaving(id, incarnation, now))
        return false;
    if (auto* entry = findEntry(id))
        entry->refusal = m_refusals.refusalOf(entry->instance, now);
    return true;
}

base::Duration UpstreamPool::deferRequests(const UpstreamInstance& instance, base::Duration wait, base::Instant now)
{
    auto bounded = m_refusals.recordDeferral(instance.id, instance.incarnation, wait, now);
    if (auto* entry = findEntry(instance.id))
        entry->refusal = m_refusals.refusalOf(entry->instance, now);
    return bounded;
}

std::optional<base::Instant> UpstreamPool::deferredUntil(const PlacementQuery& query) const
{
    std::optional<base::Instant> until;
    for (const auto& entry : m_entries) {
        bool isAllowed = isCompatible(query.version, entry.instance.version) && std::find(query.excluded.begin(), query.excluded.end(), entry.instance.id) == query.excluded.end();
        if (!isAllowed || !entry.isEligible(query.now))
            continue;
        if (!entry.refusal.isDeferred(query.now))
            return std::nullopt;
        until = until ? std::min(*until, entry.refusal.deferredUntil) : entry.refusal.deferredUntil;
    }
    return until;
}

bool UpstreamPool::areAllLeaving(base::Instant now) const
{
    bool hasPresent = false;
    for (const auto& entry : m_entries) {
        if (!entry.isPresent(now))
            continue;
        if (!entry.isLeaving())
            return false;
        hasPresent = true;
    }
    return hasPresent;
}

void UpstreamPool::applyListing(const std::vector<UpstreamInstance>& listed, base::Instant readBegan, base::Duration grace)
{
    std::unordered_map<base::UpstreamName, const UpstreamInstance*> byName;
    byName.reserve(listed.size());
    for (const auto& instance : listed)
        byName.emplace(instance.id, &instance);
    for (auto& entry : m_entries) {
        auto found = byName.find(entry.instance.id);
        if (found == byName.end()) {
            entry.graceEndsAt = entry.isListed ? readBegan + grace : std::min(entry.graceEndsAt, readBegan + grace);
            entry.isListed = false;
            continue;
        }
        const auto& instance = *found->second;
        entry.isListed = true;
        bool isRestarted = instance.incarnation != entry.instance.incarnation || instance.address != entry.instance.address;
        if (entry.instance != instance)
            entry.instance = instance;
        if (isRestarted)
            entry.suspicion = {};
    }
}

void UpstreamPool::rebuildIndex()
{
    m_index.clear();
    m_index.reserve(m_entries.size());
    for (size_t i = 0; i < m_entries.size(); ++i)
        m_index.emplace(m_entries[i].instance.id, i);
}

void UpstreamPool::countDataCentres(base::Instant now)
{
    std::unordered_map<base::DataCentreName, size_t> sizes;
    for (const auto& entry : m_entries)
        sizes[entry.instance.dataCentre] += entry.isEligible(now);
    for (const auto& [dataCentre, size] : sizes)
        m_dataCentres[dataCentre].setUpstreamCount(size);
}

void UpstreamPool::markSuperseded()
{
    std::unordered_map<std::string, uint64_t> latest;
    for (const auto& entry : m_entries) {
        auto& incarnation = latest[entry.instance.address];
        incarnation = std::max(incarnation, entry.instance.incarnation);
    }
    for (auto& entry : m_entries)
        entry.isSuperseded = entry.instance.incarnation < latest[entry.instance.address];
}

bool UpstreamPool::isOutageSuspected(const base::DataCentreName& dataCentre, base::Instant now) const
{
    auto found = m_dataCentres.find(dataCentre);
    return found != m_dataCentres.end() && found->second.isOutageSuspected(now);
}

PoolEntry* UpstreamPool::findEntry(const base::UpstreamName& id)
{
    auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

const PoolEntry* UpstreamPool::find(const base::UpstreamName& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

std::optional<Placement> UpstreamPool::place(const PlacementQuery& query, const base::DataCentreName& localDataCentre)
{
    auto* target = chooseTarget(query, localDataCentre);
    if (!target)
        return std::nullopt;
    Placement placement;
    placement.target = target->instance;
    if (query.engine) {
        placement.promptTokens = query.promptTokens;
        placement.kvTokens = query.promptTokens + query.maxOutputTokens;
        placement.isPrefillPending = true;
    }
    ++target->localLoad.requests;
    target->localLoad.pendingPrefillTokens += placement.promptTokens;
    target->localLoad.kvTokens += placement.kvTokens;
    if (!query.wantsBackup || !query.engine || !query.engine->supportsBackups)
        return placement;
    if (auto* backup = chooseBackup(query, placement.target, localDataCentre)) {
        placement.backup = backup->instance;
        backup->localLoad.kvTokens += placement.kvTokens;
    }
    return placement;
}

void UpstreamPool::markPrefilled(Placement& placement)
{
    if (!placement.isPrefillPending)
        return;
    placement.isPrefillPending = false;
    if (auto* target = findEntry(placement.target.id))
        target->localLoad.pendingPrefillTokens -= placement.promptTokens;
}

void UpstreamPool::releaseBackup(const Placement& placement)
{
    if (!placement.backup)
        return;
    if (auto* backup = findEntry(placement.backup->id))
        backup->localLoad.kvTokens -= placement.kvTokens;
}

void UpstreamPool::release(const Placement& placement)
{
    releaseBackup(placement);
    auto* target = findEntry(placement.target.id);
    if (!target)
        return;
    --target->localLoad.requests;
    target->localLoad.kvTokens -= placement.kvTokens;
    if (placement.isPrefillPending)
        target->localLoad.pendingPrefillTokens -= placement.promptTokens;
}

void UpstreamPool::replaceBackup(Placement& placement, const PlacementQuery& query, const base::DataCentreName& localDataCentre)
{
    releaseBackup(placement);
    placement.backup.reset();
    if (auto* backup = chooseBackup(query, placement.target, localDataCentre)) {
        placement.backup = backup->instance;
        backup->localLoad.kvTokens += placement.kvTokens;
    }
}

void UpstreamPool::suspect(const base::UpstreamName& id, SuspicionCause cause, base::Instant now)
{
    auto* entry = findEntry(id);
    if (!entry)
        return;
    entry->suspicion.add(cause, now);
    if (indicatesOutage(cause))
        m_dataCentres[entry->instance.dataCentre].recordFailure(id, now);
}

void UpstreamPool::avoidBriefly(const base::UpstreamName& id, base::Instant now)
{
    if (auto* entry = findEntry(id))
        entry->suspicion.addBriefly(now);
}

bool UpstreamPool::recordAcceptance(const base::UpstreamName& id, bool isRefused, base::Instant now)
{
    if (auto* entry = findEntry(id))
        entry->refusals.record(isRefused, now);
    bool isNews = isCrowded(now) != m_isReportedCrowded && now - m_crowdingReportedAt >= minCrowdingInterval;
    if (isNews) {
        m_isReportedCrowded = !m_isReportedCrowded;
        m_crowdingReportedAt = now;
    }
    return isNews;
}

double UpstreamPool::acceptedShare(base::Instant now) const
{
    // Counts as accepted, so that a single refusal is no flood.
    static constexpr double assumedAccepted = 2;
    double asked = 0;
    double refused = 0;
    const PoolEntry* worst = nullptr;
    for (const auto& entry : m_entries) {
        asked += entry.refusals.asked(now);
        refused += entry.refusals.refused(now);
        if (!worst || entry.refusals.refused(now) > worst->refusals.refused(now))
            worst = &entry;
    }
    if (m_entries.size() > 1) {
        asked -= worst->refusals.asked(now);
        refused -= worst->refusals.refused(now);
    }
    return 1 - refused / (asked + assumedAccepted);
}

void UpstreamPool::setPeerLoads(const LoadMap& loads)
{
    for (auto& entry : m_entries) {
        auto found = loads.find(entry.instance.id);
        entry.peerLoad = found == loads.end() ? UpstreamLoad {} : found->second;
    }
}

void UpstreamPool::applySuspicionReport(const SuspicionReport& report)
{
    auto* entry = findEntry(report.upstream);
    if (!entry)
        return;
    if (report.cause == SuspicionCause::Replaced) {
        // Contact proves nothing, since the address belongs to another instance.
        if (entry->instance.incarnation == report.incarnation)
            entry->suspicion.add(report.cause, report.detectedAt);
        return;
    }
    if (entry->lastContactAt >= report.detectedAt)
        return;
    auto& health = m_dataCentres[entry->instance.dataCentre];
    health.recordFailure(report.upstream, report.detectedAt);
    // Upstreams that fail together stay down for a while. The reporting node tries each first, and if that fails, its next
    // report arrives before this node would try.
    static constexpr base::Duration outageBackoff = std::chrono::milliseconds(1000);
    bool isOutage = health.isOutageSuspected(report.detectedAt);
    entry->suspicion.add(report.cause, report.detectedAt, isOutage ? outageBackoff : base::Duration {});
}

void UpstreamPool::recordContact(const base::UpstreamName& id, base::Instant now)
{
    if (auto* entry = findEntry(id))
        entry->lastContactAt = std::max(entry->lastContactAt, now);
}

void UpstreamPool::clearSuspicion(const base::UpstreamName& id)
{
    auto* entry = findEntry(id);
    if (!entry)
        return;
    entry->suspicion.clear();
    auto health = m_dataCentres.find(entry->instance.dataCentre);
    if (health != m_dataCentres.end())
        health->second.recordSuccess(id);
}

} // namespace redwingseam::fleet
