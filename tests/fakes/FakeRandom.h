#pragma once

#include <cstdint>
#include <random>

namespace redwingseam::fakes {

// Random numbers that are reproducible from a seed.
class FakeRandom {
public:
    explicit FakeRandom(uint64_t seed)
        : m_engine(seed)
    {
    }

    uint64_t next() { return m_engine(); }
    // Returns a uniform number below `bound`.
    uint64_t below(uint64_t bound) { return m_engine() % bound; }
    bool chance(uint32_t permille) { return below(1000) < permille; }

private:
    std::mt19937_64 m_engine;
};

} // namespace redwingseam::fakes
