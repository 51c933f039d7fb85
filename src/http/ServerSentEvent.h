#pragma once

#include <string>

namespace redwingseam::http {

// Server-sent event. `name` is empty if the event has no `event` field.
struct ServerSentEvent {
    std::string name;
    std::string data;
};

} // namespace redwingseam::http
