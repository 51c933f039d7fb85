#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::stream {

// One generated token: its id in the model's vocabulary, and its text.
struct Token {
    uint32_t id = 0;
    std::string text;

    bool operator==(const Token&) const = default;
};

} // namespace redwingseam::stream
