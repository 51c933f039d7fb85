#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::http {

// Purpose of a request to an upstream.
enum class UpstreamRequestKind : uint8_t {
    Generation,
    Service,
    Probe,
};

} // namespace redwingseam::http

template<>
struct redwingseam::base::EnumNames<redwingseam::http::UpstreamRequestKind> {
    using UpstreamRequestKind = redwingseam::http::UpstreamRequestKind;
    static constexpr std::array entries {
        std::pair { UpstreamRequestKind::Generation, std::string_view { "generation" } },
        std::pair { UpstreamRequestKind::Service, std::string_view { "service" } },
        std::pair { UpstreamRequestKind::Probe, std::string_view { "probe" } },
    };
};
