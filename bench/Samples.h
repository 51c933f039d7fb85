#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace redwingseam::bench {

// Collects values and returns their quantiles, sum and fairness index.
class Samples {
public:
    void add(double value) { m_values.push_back(value); }
    size_t size() const { return m_values.size(); }

    // Returns the smallest value that the share `quantile` (0 to 1) of all values doesn't exceed, or 0 if
    // there are no values.
    double quantile(double quantile)
    {
        if (m_values.empty())
            return 0;
        std::sort(m_values.begin(), m_values.end());
        auto index = static_cast<size_t>(quantile * static_cast<double>(m_values.size()));
        return m_values[std::min(index, m_values.size() - 1)];
    }

    double sum() const
    {
        double total = 0;
        for (auto value : m_values)
            total += value;
        return total;
    }

    // Returns Jain's fairness index: 1 if all values are equal or there are none.
    double jainIndex() const
    {
        double squares = 0;
        for (auto value : m_values)
            squares += value * value;
        return squares > 0 ? sum() * sum() / (static_cast<double>(m_values.size()) * squares) : 1;
    }

private:
    std::vector<double> m_values;
};

} // namespace redwingseam::bench
