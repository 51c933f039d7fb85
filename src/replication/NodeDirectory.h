#pragma once

#include "redwingseam/base/Instant.h"
#include "sync/NodeRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace redwingseam::replication {

// The system's nodes and when each was last heard of. In each data centre the first of those that live, by
// name, is the hub. Not synchronised.
class NodeDirectory {
public:
    explicit NodeDirectory(sync::NodeRecord self)
        : m_self(std::move(self))
    {
    }

    const sync::NodeRecord& self() const { return m_self; }
    // The store's list, which may be some seconds old; nodes that are heard of stay.
    void setNodes(const std::vector<sync::NodeRecord>&, base::Instant now);
    // Another node told of `node`.
    void add(const sync::NodeRecord& node);
    // A message of `node` arrived.
    void recordMessageFrom(const sync::NodeRecord& node, base::Instant now);
    std::vector<sync::NodeRecord> nodes() const;
    // All known nodes, with this one.
    size_t size() const { return m_entries.size() + 1; }

    // The hub of a data centre; nothing if none of its nodes is known.
    std::optional<sync::NodeRecord> findHub(const base::DataCentreName&, base::Instant now) const;
    bool isHub(base::Instant now) const { return findHub(m_self.dataCentre, now)->name == m_self.name; }
    // Whether this node is the hub of the first data centre, by name, in which a node is heard of.
    bool isLeader(base::Instant now) const;
    // Whether no known node, heard of or not, goes before this one.
    bool isFirstKnownNode() const;
    bool isFirstKnownNodeOfDataCentre() const;
    bool isLive(const base::VmName&, base::Instant now) const;
    bool hasLivePeer(base::Instant now) const;
    // Other data centres with a known node.
    std::vector<base::DataCentreName> otherDataCentres() const;
    // Nodes of the own data centre that are heard of, without this one.
    std::vector<sync::NodeRecord> liveNeighbours(base::Instant now) const;
    // Nodes that would be hubs if they lived, and are worth a question now and then.
    std::vector<sync::NodeRecord> silentHubCandidates(base::Instant now) const;

private:
    struct Entry {
        sync::NodeRecord record;
        base::Instant lastHeardAt {};
    };

    // More than three queries that got no answer.
    static constexpr base::Duration livenessTimeout = std::chrono::milliseconds(900);

    bool isLive(const Entry&, base::Instant now) const;

    sync::NodeRecord m_self;
    std::map<base::VmName, Entry> m_entries;
};

} // namespace redwingseam::replication
