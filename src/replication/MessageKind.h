#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::replication {

// The first field of a message. The numbers are part of the protocol between nodes.
enum class MessageKind : uint8_t {
    Query = 0,
    Reply = 1,
    FailureNotice = 2,
    // Nodes of earlier releases log the next two as unreadable.
    OriginQuery = 3,
    OriginReply = 4,
};

} // namespace redwingseam::replication

template<>
struct redwingseam::base::EnumNames<redwingseam::replication::MessageKind> {
    using MessageKind = redwingseam::replication::MessageKind;
    static constexpr std::array entries {
        std::pair { MessageKind::Query, std::string_view { "query" } },
        std::pair { MessageKind::Reply, std::string_view { "reply" } },
        std::pair { MessageKind::FailureNotice, std::string_view { "news" } },
        std::pair { MessageKind::OriginQuery, std::string_view { "origin-query" } },
        std::pair { MessageKind::OriginReply, std::string_view { "origin-reply" } },
    };
};
