#pragma once

#include "base/TokenCount.h"
#include "fleet/RetryLimits.h"
#include "manifest/ManifestIndex.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"

#include <memory>
#include <optional>
#include <vector>

namespace redwingseam::forward {

// A client request that has been matched with a route.
struct ExchangeRequest {
    // Unique on this node.
    base::RequestId id;
    // The account of the client; empty if the route does not require a key.
    base::ClientName client;
    // Keeps `route` alive.
    std::shared_ptr<const manifest::ManifestIndex> index;
    const manifest::Route* route = nullptr;
    base::ServiceName service;
    // Identical for all retries of the same request by the same account.
    base::Fingerprint fingerprint;
    base::Instant arrivedAt {};
    // How long the client waits, counted from `arrivedAt`.
    base::Duration clientTimeout {};
    // Refused if it cannot be sent by then, because the node stops.
    base::Instant latestStart = base::Instant::max();
    // Numbers of tokens that the client states, from which the load on the upstream is estimated.
    base::TokenCount promptTokens;
    base::TokenCount maxOutputTokens;
    // See PlacementQuery::promptKey.
    std::optional<uint64_t> promptKey;
    // The parts of the prompt that other requests to the same service may share, in order.
    std::vector<base::PromptPartHash> promptParts;
    // The client's id of this attempt; empty if it sent none.
    base::ClientAttemptId attempt;
    // The attempt that brought the first event of the stream, if the client resumes one.
    base::ClientAttemptId resumedAttempt;
    // The id of the last event that the client received, if it resumes a stream.
    std::optional<uint64_t> lastEventId;
    fleet::RetryLimits retries;
    // 0 is the most urgent.
    uint32_t priority = 0;
    base::Rank rank = base::Rank::Standard;
};

} // namespace redwingseam::forward
