#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::store {

// Operation of a call to the platform's store.
enum class CallKind : uint8_t {
    Read,
    // Fails with Conflict if the object exists.
    Create,
    // Fails with Conflict unless the object has the expected version.
    Update,
    // Writes unconditionally.
    Put,
    Remove,
};

} // namespace redwingseam::store

template<>
struct redwingseam::base::EnumNames<redwingseam::store::CallKind> {
    using CallKind = redwingseam::store::CallKind;
    static constexpr std::array entries {
        std::pair { CallKind::Read, std::string_view { "read" } },
        std::pair { CallKind::Create, std::string_view { "create" } },
        std::pair { CallKind::Update, std::string_view { "update" } },
        std::pair { CallKind::Put, std::string_view { "put" } },
        std::pair { CallKind::Remove, std::string_view { "remove" } },
    };
};
