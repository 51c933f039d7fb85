#pragma once

#include "redwingseam/base/Result.h"

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace redwingseam::http {

// IPv4 address and port to listen on or to connect to.
struct SocketAddress {
    std::string ip;
    uint16_t port = 0;

    // Converts to the form that the socket functions of the system use.
    sockaddr_in native() const;
    // Returns `ip:port`.
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Parses `ip:port`. Error SettingsInvalid if the text has another form.
base::Result<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace redwingseam::http
