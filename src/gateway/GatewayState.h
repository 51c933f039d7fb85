#pragma once

#include "base/HeapTrimmer.h"
#include "base/MemoryLimit.h"
#include "fleet/Fleet.h"
#include "forward/AdmissionRule.h"
#include "forward/CrashEvidence.h"
#include "forward/DrainRule.h"
#include "forward/ExchangePolicy.h"
#include "forward/PlacementQueue.h"
#include "forward/StreamDurations.h"
#include "gateway/BufferBudget.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/GatewaySettings.h"
#include "gateway/StopTimes.h"
#include "manifest/ManifestHolder.h"
#include "origin/StreamOrigins.h"
#include "redwingseam/base/BootClock.h"
#include "report/SloRecorder.h"

#include <atomic>

namespace redwingseam::gateway {

// State shared by the threads of a gateway. Each member is thread-safe on its own.
struct GatewayState {
    explicit GatewayState(const GatewaySettings& given)
        : settings(given)
        , fleet(given.dataCentre)
        , origins(fleet)
        , admission(maxConfirmationAge(given.revocationBound))
        , drain(StopTimes { given.terminationGrace }.abandonAt())
        , exchangePolicy(policyFor(given))
        , buffers(base::bufferBytesFor(given.memoryBytes ? given.memoryBytes : base::detectedMemoryBytes()))
    {
    }

    // Subtracted from the revocation bound, because a request admitted at the last moment is read and sent
    // slightly later.
    static constexpr base::Duration revocationMargin = std::chrono::milliseconds(400);

    // Returns how long after its last confirmation a manifest still authorises keys; zero means no limit. It is at least
    // half of the bound, because the margin may exceed a short bound, and zero would disable the limit.
    static base::Duration maxConfirmationAge(base::Duration bound)
    {
        if (bound == base::Duration {})
            return {};
        return std::max<base::Duration>(bound - revocationMargin, bound / 2);
    }

    static forward::ExchangePolicy policyFor(const GatewaySettings& settings)
    {
        forward::ExchangePolicy policy;
        policy.boundsCrowding = settings.sharesUpstreams;
        policy.weighsMoves = settings.sharesUpstreams;
        return policy;
    }

    bool isDraining() const { return drainStartedAt.load() != base::Instant {}; }

    const GatewaySettings settings;
    fleet::Fleet fleet;
    forward::PlacementQueue placementQueue;
    forward::CrashEvidence crashes;
    origin::StreamOrigins origins;
    manifest::ManifestHolder manifest;
    const forward::AdmissionRule admission;
    const forward::DrainRule drain;
    forward::StreamDurations streamDurations;
    const forward::ExchangePolicy exchangePolicy;
    GatewayMetrics metrics;
    // Shared by all connections.
    BufferBudget buffers;
    base::HeapTrimmer heap;
    report::SloRecorder recorder;
    // When the node began to drain; a default Instant before that.
    std::atomic<base::Instant> drainStartedAt { base::Instant {} };
    // Set when the node closes idle client connections on its own, at the end of a stop.
    std::atomic<bool> isClosingConnections { false };
    // Set when the grace is nearly over: each request that is still running gets its final answer.
    std::atomic<bool> isAbandoningRequests { false };
    // Accepted client connections that are not closed.
    std::atomic<uint32_t> openClients { 0 };
    std::atomic<uint32_t> activeSessions { 0 };
    std::atomic<uint64_t> nextRequest { 1 };
};

} // namespace redwingseam::gateway
