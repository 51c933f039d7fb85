#pragma once

#include <string>

namespace redwingseam::http {

// One server-sent event.
struct ServerSentEvent {
    std::string name;
    std::string data;
};

} // namespace redwingseam::http
