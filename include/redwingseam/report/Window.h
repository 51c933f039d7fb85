#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::report {

// Time window over which a burn rate is computed.
enum class Window : uint8_t {
    FiveMinutes,
    OneHour,
    SixHours,
};

inline constexpr size_t windowCount = 3;

// Returns the length of a window in minutes.
constexpr int64_t minutesOf(Window window)
{
    constexpr std::array<int64_t, windowCount> minutes { 5, 60, 360 };
    return minutes[static_cast<size_t>(window)];
}

} // namespace redwingseam::report

template<>
struct redwingseam::base::EnumNames<redwingseam::report::Window> {
    using Window = redwingseam::report::Window;
    static constexpr std::array entries {
        std::pair { Window::FiveMinutes, std::string_view { "5m" } },
        std::pair { Window::OneHour, std::string_view { "1h" } },
        std::pair { Window::SixHours, std::string_view { "6h" } },
    };
};
