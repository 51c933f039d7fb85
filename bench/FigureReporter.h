#pragma once

#include "BoundDirection.h"

#include <string_view>

namespace redwingseam::bench {

// Prints figures as JSON lines and records whether all stay within their bounds.
class FigureReporter {
public:
    void add(std::string_view name, double value, std::string_view unit, double bound, BoundDirection);
    void addUnbounded(std::string_view name, double value, std::string_view unit) { add(name, value, unit, 0, BoundDirection::Unbounded); }
    bool isWithinBounds() const { return m_isWithinBounds; }

private:
    bool m_isWithinBounds = true;
};

} // namespace redwingseam::bench
