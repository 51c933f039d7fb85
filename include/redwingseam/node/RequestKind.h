#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// Kind of work that a caller requests.
enum class RequestKind : uint8_t {
    Generation,
    ServiceCall,
};

} // namespace redwingseam::node

template<>
struct redwingseam::base::EnumNames<redwingseam::node::RequestKind> {
    using RequestKind = redwingseam::node::RequestKind;
    static constexpr std::array entries {
        std::pair { RequestKind::Generation, std::string_view { "generation" } },
        std::pair { RequestKind::ServiceCall, std::string_view { "service-call" } },
    };
};
