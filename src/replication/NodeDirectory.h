#pragma once

#include "redwingseam/base/Instant.h"
#include "replication/SilentNode.h"
#include "sync/NodeRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace redwingseam::replication {

// Lists the gateway nodes with the time of the last message from each. The live node with the lowest name is
// the hub of its data centre. A node is live if it sent a message within `livenessTimeout`. Not thread-safe.
class NodeDirectory {
public:
    explicit NodeDirectory(sync::NodeRecord self)
        : m_self(std::move(self))
    {
    }

    const sync::NodeRecord& self() const { return m_self; }
    // Replaces the known nodes by the store's list. The list may be some seconds old, so live nodes that it lacks
    // are kept.
    void setNodes(const std::vector<sync::NodeRecord>&, base::Instant now);
    // Adds a node that another node reported. This does not make it live. A node that was removed lately is not added.
    void add(const sync::NodeRecord& node, base::Instant now);
    // Forgets a node whose entry has been deleted from the store.
    void remove(const base::VmName&, base::Instant now);
    // Records that a message from `node` arrived, which makes it live.
    void recordMessageFrom(const sync::NodeRecord& node, base::Instant now);
    std::vector<sync::NodeRecord> nodes() const;
    // Returns the number of known nodes, including this one.
    size_t size() const { return m_entries.size() + 1; }
    // The same, and the nodes removed lately, which other nodes may still know.
    size_t sizeWithRemoved(base::Instant now) const;

    // Returns the number of known nodes whose names precede that of this node.
    uint32_t position() const { return static_cast<uint32_t>(std::distance(m_entries.begin(), m_entries.lower_bound(m_self.name))); }

    // Returns the live node of a data centre that has the lowest name, or the first known node if none is live. This
    // node counts as live. Returns nothing if no node of the data centre is known.
    std::optional<sync::NodeRecord> findHub(const base::DataCentreName&, base::Instant now) const;
    bool isHub(base::Instant now) const { return findHub(m_self.dataCentre, now)->name == m_self.name; }
    // Returns whether this node is the hub of the first data centre, by name, that has a live node.
    bool isLeader(base::Instant now) const;
    // Returns whether `name` is a deputy of this hub: one of the first live neighbours by name.
    bool isDeputy(const base::VmName&, base::Instant now) const;
    // Returns whether this node precedes all known nodes, live or not, in the order of data centre and name.
    bool isFirstKnownNode() const;
    // The same among the nodes of this data centre.
    bool isFirstKnownNodeOfDataCentre() const;
    bool isLive(const base::VmName&, base::Instant now) const;
    bool hasLivePeer(base::Instant now) const;
    // Returns whether a message from the node arrived within `duration`.
    bool hasMessageWithin(const base::VmName&, base::Duration, base::Instant now) const;
    // Returns the other data centres that have a known node.
    std::vector<base::DataCentreName> otherDataCentres() const;
    // Returns the nodes that receive a new list of upstreams first: the hub of each data centre and those that would take its
    // place, excluding this node.
    std::vector<sync::NodeRecord> listWitnesses(base::Instant now) const;
    // Returns the live nodes of this node's data centre, excluding this node.
    std::vector<sync::NodeRecord> liveNeighbours(base::Instant now) const;
    // Returns the known neighbour, live or not, that follows `name` in the order of names, or the first one if none does.
    // The hub is left out.
    std::optional<sync::NodeRecord> neighbourAfter(const base::VmName& name, base::Instant now) const;
    // Returns the nodes that are not live but would be hubs if they were. They are queried at long intervals to
    // detect their return.
    std::vector<SilentNode> silentHubCandidates(base::Instant now) const;
    // Returns the nodes of this data centre that have been silent for `duration`. The time before `attentiveSince` does not
    // count, since this node could not hear them then.
    std::vector<SilentNode> neighboursSilentFor(base::Duration, base::Instant attentiveSince, base::Instant now) const;

private:
    struct Entry {
        sync::NodeRecord record;
        base::Instant lastMessageAt {};
        base::Instant knownSince {};
    };

    // Longer than three unanswered queries within a data centre, which are sent every 250 ms. Between data centres, with
    // a query every 500 ms, it is longer than one.
    static constexpr base::Duration livenessTimeout = std::chrono::milliseconds(900);

    // Several, since the store may turn away some nodes and serve others.
    static constexpr size_t deputyCount = 2;

    // Of each data centre. Some of them may be gone, and only a hub knows which ones of other data centres are live.
    static constexpr size_t witnessCount = 3;

    // Longer than the interval at which each node reads the list of nodes.
    static constexpr base::Duration removalLifetime = std::chrono::minutes(20);

    bool isLive(const Entry&, base::Instant now) const;

    sync::NodeRecord m_self;
    std::map<base::VmName, Entry> m_entries;
    // When nodes were removed.
    std::map<base::VmName, base::Instant> m_removals;
};

} // namespace redwingseam::replication
