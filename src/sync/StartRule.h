#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::sync {

// What a node that starts knows of its place among the others.
struct StartView {
    // Since the start.
    base::Duration waited {};
    // The list of nodes was read, and none in it goes before this one.
    bool isFirst = false;
    // No node that goes before this one is heard of.
    bool isLeader = false;
    // A manifest and a list of upstreams are known.
    bool isInformed = false;
};

// When a node that starts begins to follow the store by itself. Where all nodes start at once only the first does;
// the store could not answer them all, and the others are told by it.
class StartRule {
public:
    // `spread`: this node's part, 0 to 1, of the time over which nodes that were told nothing spread their calls.
    explicit StartRule(double spread)
        : m_longest(longestWait + std::chrono::duration_cast<base::Duration>(longestSpread * spread))
    {
    }

    bool begins(const StartView& view) const
    {
        if (view.isFirst || (view.isInformed && !view.isLeader))
            return true;
        return view.waited >= (view.isLeader ? lonelyWait : m_longest);
    }

private:
    // The list of nodes, a question to the hub and its answer, with room for one that is lost.
    static constexpr base::Duration lonelyWait = std::chrono::milliseconds(300);
    // A node that goes before this one lives but knows nothing yet: it may be cut off from the store.
    static constexpr base::Duration longestWait = std::chrono::milliseconds(2500);
    static constexpr base::Duration longestSpread = std::chrono::milliseconds(2000);

    base::Duration m_longest;
};

} // namespace redwingseam::sync
