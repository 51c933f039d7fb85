#include "FigureReporter.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace redwingseam::bench {

void FigureReporter::add(std::string_view name, double value, std::string_view unit, double bound, BoundDirection direction)
{
    nlohmann::ordered_json line { { "figure", name }, { "value", value }, { "unit", unit } };
    if (direction != BoundDirection::Unbounded)
        line["bound"] = bound;
    line["direction"] = base::nameOf(direction);
    bool isOutOfBound = (direction == BoundDirection::AtMost && value > bound) || (direction == BoundDirection::AtLeast && value < bound);
    if (isOutOfBound) {
        line["past_bound"] = true;
        m_isWithinBounds = false;
    }
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

} // namespace redwingseam::bench
