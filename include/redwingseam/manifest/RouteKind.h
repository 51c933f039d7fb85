#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::manifest {

// Whether requests of a route may be retried after they may have run, and whether the response is a stream of events.
enum class RouteKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Stream,
};

inline constexpr size_t routeKindCount = 3;

} // namespace redwingseam::manifest

template<>
struct redwingseam::base::EnumNames<redwingseam::manifest::RouteKind> {
    using RouteKind = redwingseam::manifest::RouteKind;
    static constexpr std::array entries {
        std::pair { RouteKind::Idempotent, std::string_view { "idempotent" } },
        std::pair { RouteKind::NonIdempotent, std::string_view { "non-idempotent" } },
        std::pair { RouteKind::Stream, std::string_view { "stream" } },
    };
};
