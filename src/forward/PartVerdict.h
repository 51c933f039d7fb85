#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// What the crashes of upstreams say about a prompt part.
enum class PartVerdict : uint8_t {
    // No crash is attributed to the part.
    Sound,
    // Too few crashes to tell the part from a coincidence.
    Suspect,
    // Requests with the part are refused, apart from rare trials.
    Quarantined,
};

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::PartVerdict> {
    using PartVerdict = redwingseam::forward::PartVerdict;
    static constexpr std::array entries {
        std::pair { PartVerdict::Sound, std::string_view { "sound" } },
        std::pair { PartVerdict::Suspect, std::string_view { "suspect" } },
        std::pair { PartVerdict::Quarantined, std::string_view { "quarantined" } },
    };
};
