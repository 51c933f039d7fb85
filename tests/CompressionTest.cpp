#include "base/Compression.h"
#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

TEST_GROUP(Compression) {};

TEST(Compression, TextComesBackWhole)
{
    CHECK_PROPERTY("decompress returns what was compressed", [](const std::string& piece, uint16_t repeats) {
        std::string text;
        for (unsigned i = 0; i < repeats % 3000U; ++i)
            text.append(piece).append(std::to_string(i));
        RC_ASSERT(base::decompress(base::compress(text), text.size()) == text);
    });
}

TEST(Compression, DamagedOrIncompleteBytesAreRejected)
{
    CHECK_PROPERTY("a part of the bytes is no text", [](const std::string& text, uint16_t cut) {
        auto bytes = base::compress(text + "some text");
        RC_ASSERT(!base::decompress(std::string_view(bytes).substr(0, cut % bytes.size()), 1'000'000));
    });
    CHECK_FALSE(base::decompress("no deflate stream \xff\xff\xff", 1'000'000).has_value());
}

// A few bytes may stand for a text that does not fit the memory.
TEST(Compression, TextBeyondTheLimitIsRejected)
{
    auto bytes = base::compress(std::string(50'000'000, 'x'));
    CHECK_TRUE(bytes.size() < 500'000);
    CHECK_FALSE(base::decompress(bytes, 4'000'000).has_value());
}
