#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::stream {

// One generated token: the model's id, and the text that it stands for.
struct Token {
    uint32_t id = 0;
    std::string text;

    bool operator==(const Token&) const = default;
};

} // namespace redwingseam::stream
