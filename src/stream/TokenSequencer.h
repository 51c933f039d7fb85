#pragma once

#include "redwingseam/base/Ids.h"
#include "stream/AcceptResult.h"
#include "stream/DefaultSequencerRules.h"
#include "stream/Transcript.h"

#include <span>
#include <utility>

namespace redwingseam::stream {

// Accepts each token of one answer exactly once and in order. Only the next token of the current attempt
// is accepted. While a hedged attempt is in flight, the attempt that delivers the next token first becomes
// the current one and the other is closed. Not thread-safe: the lock of the owning shard guards it.
template<SequencerRules Rules = DefaultSequencerRules>
class TokenSequencer {
public:
    const Transcript& transcript() const { return m_transcript; }

    // Appends tokens that the caller already has.
    void preload(std::span<const uint32_t> ids)
    {
        for (auto id : ids)
            m_transcript.append(id);
    }

    void setCurrent(base::AttemptNumber attempt) { m_current = attempt; }
    void setHedge(base::AttemptNumber attempt) { m_hedge = attempt; }
    base::AttemptNumber current() const { return m_current; }
    base::AttemptNumber hedge() const { return m_hedge; }

    // Stops accepting tokens from an attempt. If it is the current one, the hedge replaces it.
    void close(base::AttemptNumber attempt)
    {
        if (attempt == m_hedge)
            m_hedge = {};
        if (attempt == m_current)
            m_current = std::exchange(m_hedge, {});
    }

    // Appends the tokens of an attempt, the first of which has the index `firstIndex` in the answer. Skips
    // tokens that were accepted before and stops at a missing index. Accepts nothing from a closed attempt.
    AcceptResult accept(base::AttemptNumber attempt, uint32_t firstIndex, std::span<const Token> tokens)
    {
        AcceptResult result { m_transcript.size(), {}, false, std::nullopt };
        if (!Rules::isEligible(attempt.value, m_current.value, m_hedge.value))
            return result;
        uint32_t index = firstIndex;
        for (const auto& token : tokens) {
            if (Rules::isNext(index, m_transcript.size())) {
                m_transcript.append(token.id);
                result.accepted.push_back(token);
            } else if (index > m_transcript.size()) {
                result.hasMissingTokens = true;
                break;
            }
            ++index;
        }
        if (!result.accepted.empty())
            result.closedAttempt = resolveRace(attempt);
        return result;
    }

private:
    std::optional<base::AttemptNumber> resolveRace(base::AttemptNumber winner)
    {
        if (!m_hedge.value)
            return std::nullopt;
        auto closedAttempt = winner == m_current ? m_hedge : m_current;
        m_current = winner;
        m_hedge = {};
        return closedAttempt;
    }

    Transcript m_transcript;
    base::AttemptNumber m_current;
    base::AttemptNumber m_hedge;
};

} // namespace redwingseam::stream
