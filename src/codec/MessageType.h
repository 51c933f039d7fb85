#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::codec {

// Alternatives of peer::PeerMessage, in the same order. The values are the `type` of encoded messages.
enum class MessageType : uint8_t {
    Heartbeat,
    Gossip,
    Digest,
    ClaimRelay,
    ClaimDecided,
};

} // namespace redwingseam::codec

template<>
struct redwingseam::base::EnumNames<redwingseam::codec::MessageType> {
    using MessageType = redwingseam::codec::MessageType;
    static constexpr std::array entries {
        std::pair { MessageType::Heartbeat, std::string_view { "heartbeat" } },
        std::pair { MessageType::Gossip, std::string_view { "gossip" } },
        std::pair { MessageType::Digest, std::string_view { "digest" } },
        std::pair { MessageType::ClaimRelay, std::string_view { "claim-relay" } },
        std::pair { MessageType::ClaimDecided, std::string_view { "claim-decided" } },
    };
};
