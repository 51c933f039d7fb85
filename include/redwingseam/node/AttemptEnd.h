#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// How an attempt ended. No end needs to be reported for an attempt that the node has cancelled.
enum class AttemptEnd : uint8_t {
    // The upstream reported a complete answer. A service's response is complete whatever its status is, except
    // for one that means Refused.
    Complete,
    // The connection broke, or the response ended early, after the request was sent. The upstream may have
    // crashed.
    Lost,
    // The upstream refused the request before running any of it, for example with HTTP status 503.
    Refused,
    // The request was never sent.
    Unreachable,
};

} // namespace redwingseam::node

template<>
struct redwingseam::base::EnumNames<redwingseam::node::AttemptEnd> {
    using AttemptEnd = redwingseam::node::AttemptEnd;
    static constexpr std::array entries {
        std::pair { AttemptEnd::Complete, std::string_view { "complete" } },
        std::pair { AttemptEnd::Lost, std::string_view { "lost" } },
        std::pair { AttemptEnd::Refused, std::string_view { "refused" } },
        std::pair { AttemptEnd::Unreachable, std::string_view { "unreachable" } },
    };
};
