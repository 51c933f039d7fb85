#pragma once

#include "fleet/LoadMap.h"
#include "sync/UpstreamList.h"

#include <memory>
#include <unordered_set>

namespace redwingseam::replication {

// Selects the upstreams whose load is reported to a data centre. A short list of upstreams is reported in full. Of a
// long list only the upstreams in the receiver's data centre are reported: the receiver sends requests to others only
// when its own upstreams fail, and the size of full reports would grow with the number of nodes times the number of
// upstreams. An upstream that runs a single request whose prefill is complete is left out, since it differs little from
// an idle one. Not thread-safe.
class LoadFilter {
public:
    explicit LoadFilter(base::DataCentreName receiver)
        : m_receiver(std::move(receiver))
    {
    }

    fleet::LoadMap apply(const fleet::LoadMap&, const std::shared_ptr<const sync::UpstreamList>&);

private:
    static bool isNegligible(const fleet::UpstreamLoad& load) { return load.requests <= 1 && load.pendingPrefillTokens.isZero(); }

    // Keeps the loads in a reply to a few kilobytes.
    static constexpr size_t maxUnfilteredUpstreams = 600;

    base::DataCentreName m_receiver;
    std::shared_ptr<const sync::UpstreamList> m_list;
    std::unordered_set<base::UpstreamName> m_receiverUpstreams;
};

} // namespace redwingseam::replication
