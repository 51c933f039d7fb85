#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// What crashes an upstream.
enum class CauseKind : uint8_t {
    // A prompt part, whatever else the request holds.
    PromptPart,
    // One request as a whole.
    Request,
};

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::CauseKind> {
    using CauseKind = redwingseam::forward::CauseKind;
    static constexpr std::array entries {
        std::pair { CauseKind::PromptPart, std::string_view { "prompt-part" } },
        std::pair { CauseKind::Request, std::string_view { "request" } },
    };
};
