#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::route {

// What an upstream runs.
enum class UpstreamKind : uint8_t {
    Engine,
    Service,
};

} // namespace redwingseam::route

template<>
struct redwingseam::base::EnumNames<redwingseam::route::UpstreamKind> {
    using UpstreamKind = redwingseam::route::UpstreamKind;
    static constexpr std::array entries {
        std::pair { UpstreamKind::Engine, std::string_view { "engine" } },
        std::pair { UpstreamKind::Service, std::string_view { "service" } },
    };
};
