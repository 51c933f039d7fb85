#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fleet {

// What a node holds of the link over which it reaches all others.
enum class LinkJudgement : uint8_t {
    // An upstream that is not reached has most likely failed.
    Sound,
    // Whatever is not reached, the node's own link is the likely cause.
    Doubtful,
};

} // namespace redwingseam::fleet

template<>
struct redwingseam::base::EnumNames<redwingseam::fleet::LinkJudgement> {
    using LinkJudgement = redwingseam::fleet::LinkJudgement;
    static constexpr std::array entries {
        std::pair { LinkJudgement::Sound, std::string_view { "sound" } },
        std::pair { LinkJudgement::Doubtful, std::string_view { "doubtful" } },
    };
};
