#pragma once

#include "fleet/Fleet.h"
#include "forward/AdmissionRule.h"
#include "forward/CrashRegister.h"
#include "forward/DrainRule.h"
#include "forward/StreamDurations.h"
#include "forward/Timing.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/GatewaySettings.h"
#include "manifest/ManifestHolder.h"
#include "redwingseam/base/BootClock.h"
#include "report/SloRecorder.h"

#include <atomic>

namespace redwingseam::gateway {

// What the threads of a gateway share. Each part is thread-safe by itself.
struct GatewayState {
    explicit GatewayState(const GatewaySettings& given)
        : settings(given)
        , fleet(given.dataCentre)
        , admission(longestUnconfirmed(given.revocationBound))
        , drain(given.terminationGrace)
    {
    }

    // A request that was admitted at the last moment is read and sent a little later.
    static constexpr base::Duration revocationMargin = std::chrono::milliseconds(400);

    static base::Duration longestUnconfirmed(base::Duration bound)
    {
        if (bound == base::Duration {})
            return {};
        return std::max<base::Duration>(bound - revocationMargin, bound / 2);
    }

    bool isDraining() const { return toldToStopAt.load() != base::Instant {}; }

    const GatewaySettings settings;
    fleet::Fleet fleet;
    forward::CrashRegister crashes;
    manifest::ManifestHolder manifest;
    const forward::AdmissionRule admission;
    const forward::DrainRule drain;
    forward::StreamDurations streamDurations;
    const forward::Timing timing;
    GatewayMetrics metrics;
    report::SloRecorder levels;
    // When the node was told to stop; the start of time until then.
    std::atomic<base::Instant> toldToStopAt { base::Instant {} };
    std::atomic<uint32_t> sessions { 0 };
    std::atomic<uint64_t> nextRequest { 1 };
};

} // namespace redwingseam::gateway
