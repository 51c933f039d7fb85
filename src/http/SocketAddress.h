#pragma once

#include "redwingseam/base/Result.h"

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace redwingseam::http {

// An IPv4 address and port to listen on or to connect to.
struct SocketAddress {
    std::string ip;
    uint16_t port = 0;

    sockaddr_in native() const;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Fills an address from `ip:port`. Error SettingsInvalid.
base::Result<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace redwingseam::http
