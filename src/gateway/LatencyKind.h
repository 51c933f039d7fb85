#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::gateway {

// Latencies that are recorded in histograms.
enum class LatencyKind : uint8_t {
    // From the arrival of a request to its complete response or, for a stream, to the first event.
    Response,
    // Between two consecutive events of a stream.
    EventGap,
    // Between two events of a stream that resumed in between because the connection to its upstream failed. A stream
    // that resumed after a failed probe or a long silence is recorded as EventGap.
    ResumeGap,
    // A call to the platform's store.
    StoreCall,
};

inline constexpr size_t latencyKindCount = 4;

} // namespace redwingseam::gateway

template<>
struct redwingseam::base::EnumNames<redwingseam::gateway::LatencyKind> {
    using LatencyKind = redwingseam::gateway::LatencyKind;
    static constexpr std::array entries {
        std::pair { LatencyKind::Response, std::string_view { "response" } },
        std::pair { LatencyKind::EventGap, std::string_view { "event_gap" } },
        std::pair { LatencyKind::ResumeGap, std::string_view { "resume_gap" } },
        std::pair { LatencyKind::StoreCall, std::string_view { "store_call" } },
    };
};
