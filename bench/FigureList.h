#pragma once

#include "Direction.h"

#include <string_view>

namespace redwingseam::bench {

// Prints figures as JSON lines and remembers whether any is past its bound.
class FigureList {
public:
    void add(std::string_view name, double value, std::string_view unit, double bound, Direction);
    void show(std::string_view name, double value, std::string_view unit) { add(name, value, unit, 0, Direction::Shown); }
    bool isGood() const { return m_isGood; }

private:
    bool m_isGood = true;
};

} // namespace redwingseam::bench
