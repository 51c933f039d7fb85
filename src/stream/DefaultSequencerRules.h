#pragma once

#include <concepts>
#include <cstdint>

namespace redwingseam::stream {

// Decides which tokens a TokenSequencer accepts. Tests substitute faulty rules to show that their property
// checks can fail.
struct DefaultSequencerRules {
    // Returns whether tokens of `attempt` may extend the accepted prefix. 0 stands for no attempt.
    static bool isEligible(uint64_t attempt, uint64_t current, uint64_t hedge) { return attempt && (attempt == current || attempt == hedge); }
    // Returns whether a token at `index` is the next one after `size` accepted tokens.
    static bool isNext(uint32_t index, uint32_t size) { return index == size; }
};

template<typename T>
concept SequencerRules = requires(uint64_t attempt, uint32_t index)
{
    {
        T::isEligible(attempt, attempt, attempt)
        } -> std::same_as<bool>;
    {
        T::isNext(index, index)
        } -> std::same_as<bool>;
};

} // namespace redwingseam::stream
