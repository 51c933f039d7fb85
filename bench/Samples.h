#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace redwingseam::bench {

// Values of which quantiles are wanted.
class Samples {
public:
    void add(double value) { m_values.push_back(value); }
    size_t size() const { return m_values.size(); }

    // Smallest value that the share `quantile` of all values does not exceed; 0 without values.
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

    // Jain's index of fairness: 1 where all values are equal.
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
