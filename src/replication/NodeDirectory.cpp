#include "replication/NodeDirectory.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace redwingseam::replication {

void NodeDirectory::setNodes(const std::vector<sync::NodeRecord>& nodes, base::Instant now)
{
    std::map<base::VmName, Entry> entries;
    for (const auto& [name, entry] : m_entries) {
        if (isLive(entry, now))
            entries.emplace(name, entry);
    }
    for (const auto& node : nodes) {
        if (node.name == m_self.name)
            continue;
        auto before = m_entries.find(node.name);
        auto entry = before == m_entries.end() ? Entry { node, {}, now } : before->second;
        if (entry.record != node)
            entry.knownSince = now;
        entry.record = node;
        entries.insert_or_assign(node.name, entry);
        m_removals.erase(node.name);
    }
    m_entries = std::move(entries);
}

void NodeDirectory::add(const sync::NodeRecord& node, base::Instant now)
{
    auto removal = m_removals.find(node.name);
    bool isRemoved = removal != m_removals.end() && now - removal->second < removalLifetime;
    if (node.name == m_self.name || isRemoved)
        return;
    m_entries.try_emplace(node.name, Entry { node, {}, now }).first->second.record = node;
}

void NodeDirectory::remove(const base::VmName& name, base::Instant now)
{
    std::erase_if(m_removals, [&](const auto& item) { return now - item.second >= removalLifetime; });
    if (m_entries.erase(name))
        m_removals[name] = now;
}

size_t NodeDirectory::sizeWithRemoved(base::Instant now) const
{
    auto removed = std::count_if(m_removals.begin(), m_removals.end(), [&](const auto& item) { return now - item.second < removalLifetime; });
    return size() + static_cast<size_t>(removed);
}

void NodeDirectory::recordMessageFrom(const sync::NodeRecord& node, base::Instant now)
{
    if (node.name == m_self.name)
        return;
    m_removals.erase(node.name);
    auto& entry = m_entries[node.name];
    entry.record = node;
    entry.lastMessageAt = now;
}

std::vector<sync::NodeRecord> NodeDirectory::nodes() const
{
    std::vector<sync::NodeRecord> all { m_self };
    for (const auto& [name, entry] : m_entries)
        all.push_back(entry.record);
    return all;
}

bool NodeDirectory::isLive(const Entry& entry, base::Instant now) const
{
    return entry.lastMessageAt != base::Instant {} && now - entry.lastMessageAt < livenessTimeout;
}

std::optional<sync::NodeRecord> NodeDirectory::findHub(const base::DataCentreName& dataCentre, base::Instant now) const
{
    std::optional<sync::NodeRecord> firstKnown;
    for (const auto& [name, entry] : m_entries) {
        bool isAfterSelf = dataCentre == m_self.dataCentre && m_self.name < name;
        if (isAfterSelf)
            return m_self;
        if (entry.record.dataCentre != dataCentre)
            continue;
        if (isLive(entry, now))
            return entry.record;
        if (!firstKnown)
            firstKnown = entry.record;
    }
    if (dataCentre == m_self.dataCentre)
        return m_self;
    return firstKnown;
}

bool NodeDirectory::isLeader(base::Instant now) const
{
    if (!isHub(now))
        return false;
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.second.record.dataCentre < m_self.dataCentre && isLive(item.second, now);
    });
}

bool NodeDirectory::isDeputy(const base::VmName& name, base::Instant now) const
{
    auto neighbours = liveNeighbours(now);
    auto end = neighbours.begin() + static_cast<std::ptrdiff_t>(std::min(deputyCount, neighbours.size()));
    return std::any_of(neighbours.begin(), end, [&](const auto& node) { return node.name == name; });
}

bool NodeDirectory::isFirstKnownNode() const
{
    auto orderOf = [](const sync::NodeRecord& node) { return std::tie(node.dataCentre, node.name); };
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& item) { return orderOf(item.second.record) < orderOf(m_self); });
}

bool NodeDirectory::isFirstKnownNodeOfDataCentre() const
{
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.second.record.dataCentre == m_self.dataCentre && item.first < m_self.name;
    });
}

bool NodeDirectory::isLive(const base::VmName& name, base::Instant now) const
{
    auto found = m_entries.find(name);
    return found != m_entries.end() && isLive(found->second, now);
}

bool NodeDirectory::hasMessageWithin(const base::VmName& name, base::Duration duration, base::Instant now) const
{
    auto found = m_entries.find(name);
    return found != m_entries.end() && found->second.lastMessageAt != base::Instant {} && now - found->second.lastMessageAt < duration;
}

bool NodeDirectory::hasLivePeer(base::Instant now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) { return isLive(item.second, now); });
}

std::vector<base::DataCentreName> NodeDirectory::otherDataCentres() const
{
    std::set<base::DataCentreName> names;
    for (const auto& [name, entry] : m_entries) {
        if (entry.record.dataCentre != m_self.dataCentre)
            names.insert(entry.record.dataCentre);
    }
    return { names.begin(), names.end() };
}

std::vector<sync::NodeRecord> NodeDirectory::listWitnesses(base::Instant now) const
{
    std::map<base::DataCentreName, std::vector<sync::NodeRecord>> byDataCentre;
    for (const auto& [name, entry] : m_entries) {
        auto& witnesses = byDataCentre[entry.record.dataCentre];
        if (witnesses.size() < witnessCount)
            witnesses.push_back(entry.record);
    }
    std::vector<sync::NodeRecord> all;
    for (auto& [dataCentre, witnesses] : byDataCentre) {
        auto hub = *findHub(dataCentre, now);
        bool isIncluded = hub.name == m_self.name || std::find(witnesses.begin(), witnesses.end(), hub) != witnesses.end();
        if (!isIncluded)
            witnesses.push_back(hub);
        all.insert(all.end(), witnesses.begin(), witnesses.end());
    }
    return all;
}

std::vector<sync::NodeRecord> NodeDirectory::liveNeighbours(base::Instant now) const
{
    std::vector<sync::NodeRecord> neighbours;
    for (const auto& [name, entry] : m_entries) {
        if (entry.record.dataCentre == m_self.dataCentre && isLive(entry, now))
            neighbours.push_back(entry.record);
    }
    return neighbours;
}

std::optional<sync::NodeRecord> NodeDirectory::neighbourAfter(const base::VmName& name, base::Instant now) const
{
    auto hub = findHub(m_self.dataCentre, now);
    std::optional<sync::NodeRecord> first;
    for (const auto& [neighbour, entry] : m_entries) {
        if (entry.record.dataCentre != m_self.dataCentre || neighbour == hub->name)
            continue;
        if (name < neighbour)
            return entry.record;
        if (!first)
            first = entry.record;
    }
    return first;
}

std::vector<SilentNode> NodeDirectory::silentHubCandidates(base::Instant now) const
{
    std::vector<SilentNode> silent;
    std::set<base::DataCentreName> dataCentresWithHub;
    for (const auto& [name, entry] : m_entries) {
        const auto& dataCentre = entry.record.dataCentre;
        if (dataCentre == m_self.dataCentre && m_self.name < name)
            dataCentresWithHub.insert(dataCentre);
        if (dataCentresWithHub.count(dataCentre))
            continue;
        if (isLive(entry, now))
            dataCentresWithHub.insert(dataCentre);
        else
            silent.push_back({ entry.record, entry.lastMessageAt });
    }
    return silent;
}

std::vector<SilentNode> NodeDirectory::neighboursSilentFor(base::Duration duration, base::Instant attentiveSince, base::Instant now) const
{
    std::vector<SilentNode> silent;
    for (const auto& [name, entry] : m_entries) {
        auto silentSince = std::max({ entry.lastMessageAt, entry.knownSince, attentiveSince });
        if (entry.record.dataCentre == m_self.dataCentre && now - silentSince >= duration)
            silent.push_back({ entry.record, entry.lastMessageAt });
    }
    return silent;
}

} // namespace redwingseam::replication
