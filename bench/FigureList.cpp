#include "FigureList.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace redwingseam::bench {

void FigureList::add(std::string_view name, double value, std::string_view unit, double bound, Direction direction)
{
    nlohmann::ordered_json line { { "figure", name }, { "value", value }, { "unit", unit } };
    if (direction != Direction::Shown)
        line["bound"] = bound;
    line["direction"] = base::nameOf(direction);
    bool isPast = (direction == Direction::AtMost && value > bound) || (direction == Direction::AtLeast && value < bound);
    if (isPast) {
        line["past_bound"] = true;
        m_isGood = false;
    }
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

} // namespace redwingseam::bench
