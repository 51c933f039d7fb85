#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::claim {

// What a claim record states about its key.
enum class RecordKind : uint8_t {
    // The holder may dispatch the key's work, once.
    Claimed,
    // The work has ended with the record's response.
    Finished,
    // The holder has not dispatched the work and never will.
    Abandoned,
};

} // namespace redwingseam::claim

template<>
struct redwingseam::base::EnumNames<redwingseam::claim::RecordKind> {
    using RecordKind = redwingseam::claim::RecordKind;
    static constexpr std::array entries {
        std::pair { RecordKind::Claimed, std::string_view { "claimed" } },
        std::pair { RecordKind::Finished, std::string_view { "finished" } },
        std::pair { RecordKind::Abandoned, std::string_view { "abandoned" } },
    };
};
