#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// What the progress of requests with a prompt part says about a crash on it.
enum class Soundness : uint8_t {
    Unproven,
    // There was progress shortly before the crash.
    ProvenBefore,
    // There was progress since the crash.
    ProvenSince,
};

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::Soundness> {
    using Soundness = redwingseam::forward::Soundness;
    static constexpr std::array entries {
        std::pair { Soundness::Unproven, std::string_view { "unproven" } },
        std::pair { Soundness::ProvenBefore, std::string_view { "proven-before" } },
        std::pair { Soundness::ProvenSince, std::string_view { "proven-since" } },
    };
};
