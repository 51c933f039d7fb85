#include "stream/TokenSequencer.h"

#include "PropertyCheck.h"
#include "fakes/FakeModel.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

namespace {

// Faulty rules: accept a token at any index.
struct AcceptsAnyIndex {
    static bool isEligible(uint64_t attempt, uint64_t current, uint64_t hedge) { return stream::DefaultSequencerRules::isEligible(attempt, current, hedge); }
    static bool isNext(uint32_t, uint32_t) { return true; }
};

// Faulty rules: accept tokens of closed attempts.
struct AcceptsAnyAttempt {
    static bool isEligible(uint64_t, uint64_t, uint64_t) { return true; }
    static bool isNext(uint32_t index, uint32_t size) { return stream::DefaultSequencerRules::isNext(index, size); }
};

// Feeds a sequencer tokens of several attempts in random order, some late or repeated. The attempts'
// answers differ, except that each starts with the prefix accepted when the attempt began. Returns whether
// the transcript only ever grows by the next token of the current attempt.
template<typename Rules>
bool keepsEachTokenOnce(const std::vector<uint8_t>& steps)
{
    stream::TokenSequencer<Rules> sequencer;
    std::vector<std::vector<uint32_t>> answers { {} };
    auto startAttempt = [&] {
        auto number = answers.size();
        auto answer = sequencer.transcript().ids();
        for (uint32_t index = static_cast<uint32_t>(answer.size()); index < 40; ++index)
            answer.push_back(fakes::fakeToken("p", number, index).id);
        answers.push_back(std::move(answer));
        sequencer.setCurrent({ number });
    };
    startAttempt();
    for (auto choice : steps) {
        if (choice % 16 == 0) {
            sequencer.close(sequencer.current());
            startAttempt();
            continue;
        }
        auto attempt = 1 + choice % (answers.size() - 1);
        uint32_t first = (choice / 3) % 40;
        auto before = sequencer.transcript().ids();
        sequencer.accept({ attempt }, first, std::vector<stream::Token> { { answers[attempt][first], {} } });
        const auto& after = sequencer.transcript().ids();
        bool isGrown = after.size() == before.size() + 1 && std::equal(before.begin(), before.end(), after.begin());
        bool isOfCurrent = isGrown && attempt == sequencer.current().value && first == before.size() && after.back() == answers[attempt][first];
        if (after != before && !isOfCurrent)
            return false;
    }
    return true;
}

} // namespace

TEST_GROUP(TokenSequencer) {};

TEST(TokenSequencer, KeepsEachTokenOnce)
{
    CHECK_PROPERTY("only the current attempt's next token is accepted", [](const std::vector<uint8_t>& steps) {
        RC_ASSERT(keepsEachTokenOnce<stream::DefaultSequencerRules>(steps));
    });
}

TEST(TokenSequencer, PropertyDetectsRepeatedTokens)
{
    std::vector<uint8_t> steps { 1, 1, 1, 4, 4 };
    CHECK_TRUE(keepsEachTokenOnce<stream::DefaultSequencerRules>(steps));
    CHECK_FALSE(keepsEachTokenOnce<AcceptsAnyIndex>(steps));
}

TEST(TokenSequencer, PropertyDetectsMixedAnswers)
{
    // Attempt 1 delivers a token, is closed, and then delivers its next one late.
    std::vector<uint8_t> steps { 1, 16, 4 };
    CHECK_TRUE(keepsEachTokenOnce<stream::DefaultSequencerRules>(steps));
    CHECK_FALSE(keepsEachTokenOnce<AcceptsAnyAttempt>(steps));
}

TEST(TokenSequencer, FirstToDeliverWinsTheRace)
{
    stream::TokenSequencer<> sequencer;
    sequencer.setCurrent({ 1 });
    sequencer.accept({ 1 }, 0, std::vector<stream::Token> { { 7, {} } });
    sequencer.setHedge({ 2 });
    auto result = sequencer.accept({ 2 }, 1, std::vector<stream::Token> { { 8, {} } });
    CHECK_TRUE(result.closedAttempt == base::AttemptNumber { 1 });
    CHECK_TRUE(sequencer.accept({ 1 }, 2, std::vector<stream::Token> { { 9, {} } }).accepted.empty());
    LONGS_EQUAL(2, sequencer.transcript().size());
}

TEST(TokenSequencer, ReportsMissingTokens)
{
    stream::TokenSequencer<> sequencer;
    sequencer.setCurrent({ 1 });
    auto result = sequencer.accept({ 1 }, 1, std::vector<stream::Token> { { 7, {} } });
    CHECK_TRUE(result.hasMissingTokens);
    CHECK_TRUE(result.accepted.empty());
}
