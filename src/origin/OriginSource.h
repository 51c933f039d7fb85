#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::origin {

// How a node knows where a stream began.
enum class OriginSource : uint8_t {
    // This node sent it, or has found it out before.
    Memory,
    // The service has had no other version for as long as a stream lives.
    OnlyVersion,
    // Records may be lost, and the numbers of upstreams before and now assign the stream to the same version.
    Assignment,
    // Nobody has a record, and the numbers of upstreams in the times of which records may be missing assign the stream to the
    // same version.
    Absence,
    Peer,
    Store,
};

} // namespace redwingseam::origin

template<>
struct redwingseam::base::EnumNames<redwingseam::origin::OriginSource> {
    using OriginSource = redwingseam::origin::OriginSource;
    static constexpr std::array entries {
        std::pair { OriginSource::Memory, std::string_view { "memory" } },
        std::pair { OriginSource::OnlyVersion, std::string_view { "only-version" } },
        std::pair { OriginSource::Assignment, std::string_view { "assignment" } },
        std::pair { OriginSource::Absence, std::string_view { "absence" } },
        std::pair { OriginSource::Peer, std::string_view { "peer" } },
        std::pair { OriginSource::Store, std::string_view { "store" } },
    };
};
