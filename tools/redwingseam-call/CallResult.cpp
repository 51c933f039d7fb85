#include "CallResult.h"

#include <nlohmann/json.hpp>

namespace redwingseam::standin {

std::string CallResult::json() const
{
    nlohmann::json result {
        { "tokens", tokens },
        { "wrong_tokens", wrongTokens },
        { "whole", isComplete },
        { "resumes", resumes },
        { "reconnects", reconnects },
        { "first_token_ms", firstTokenMs },
        { "longest_gap_ms", longestGapMs },
    };
    if (!error.empty())
        result["error"] = error;
    return result.dump();
}

} // namespace redwingseam::standin
