#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::http {

// Purpose of a request to an upstream.
enum class UpstreamCallKind : uint8_t {
    Generation,
    Service,
    Probe,
};

} // namespace redwingseam::http

template<>
struct redwingseam::base::EnumNames<redwingseam::http::UpstreamCallKind> {
    using UpstreamCallKind = redwingseam::http::UpstreamCallKind;
    static constexpr std::array entries {
        std::pair { UpstreamCallKind::Generation, std::string_view { "generation" } },
        std::pair { UpstreamCallKind::Service, std::string_view { "service" } },
        std::pair { UpstreamCallKind::Probe, std::string_view { "probe" } },
    };
};
