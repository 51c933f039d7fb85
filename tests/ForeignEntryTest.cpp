// Entries of another writer in the store: one that cannot be read must not hide the others.

#include "http/PercentEncoding.h"
#include "platform/ManifestCodec.h"
#include "platform/NodeCodec.h"
#include "platform/UpstreamCodec.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

static std::string repeated(const std::string& text, size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

static const std::string goodSpec = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1})";

static std::string entry(const std::string& name, const std::string& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" + spec + R"(,"status":null})";
}

// Returns the spec of a sound entry in which `field` has the given value, or lacks it if that is empty.
static std::string specWith(const std::string& field, const std::string& value)
{
    auto spec = goodSpec;
    auto begin = spec.find("\"" + field + "\":");
    auto end = std::min(spec.find(',', begin), spec.size() - 1);
    if (!value.empty())
        return spec.replace(begin, end - begin, "\"" + field + "\":" + value);
    return end == spec.size() - 1 ? spec.erase(begin - 1, end - begin + 1) : spec.erase(begin, end + 1 - begin);
}

static std::vector<std::string> unreadableSpecs()
{
    static constexpr size_t million = 1000000;
    return {
        repeated("[", million) + repeated("]", million),
        repeated(R"({"a":)", million) + "1" + repeated("}", million),
        specWith("slots", "1e400"),
        specWith("seq", repeated("9", 400)),
        specWith("slots", "NaN"),
        specWith("zone", R"("\udcff")"),
        specWith("zone", R"("\ud800x")"),
        specWith("zone", R"("\q")"),
        specWith("zone", "\"\xff\xfe\""),
        specWith("zone", "\"\x01\""),
        specWith("zone", std::string("\"\0\"", 3)),
        "\"" + repeated("\xc0{[\\\"", million / 5) + "\"",
        "{]",
        "tru",
    };
}

TEST_GROUP(ForeignEntry) {};

TEST(ForeignEntry, UnreadableEntryDoesNotHideTheOthersInAList)
{
    for (const auto& spec : unreadableSpecs()) {
        auto page = platform::parseUpstreamPage(R"({"items":[)" + entry("a", goodSpec) + "," + entry("odd", spec) + "," + entry("z", goodSpec) + R"(],"hasMore":true,"at":9})");
        CHECK_TRUE_TEXT(page.has_value(), spec.substr(0, 40).c_str());
        LONGS_EQUAL(2, page.value().upstreams.size());
        LONGS_EQUAL(9, page.value().revision);
        STRCMP_EQUAL("z", page.value().next.c_str());
    }
}

TEST(ForeignEntry, UnreadableEntryDoesNotHideTheOthersInAWatch)
{
    for (const auto& spec : unreadableSpecs()) {
        auto event = [](const std::string& object) { return R"({"deleted":false,"object":)" + object + "}"; };
        auto result = platform::parseUpstreamChanges(R"({"events":[)" + event(entry("a", goodSpec)) + "," + event(entry("odd", spec)) + "," + event(entry("z", goodSpec)) + R"(],"at":9})");
        CHECK_TRUE_TEXT(result.has_value(), spec.substr(0, 40).c_str());
        LONGS_EQUAL(9, result.value().version.revision);
        const auto& changes = result.value().changes;
        LONGS_EQUAL(3, changes.size());
        // An entry that replaces a sound one takes it out of use.
        STRCMP_EQUAL("odd", changes.at(1).id.text.c_str());
        CHECK_FALSE(changes.at(1).current.has_value());
        CHECK_TRUE(changes.at(0).current.has_value() && changes.at(2).current.has_value());
    }
}

TEST(ForeignEntry, EntryThatLacksAFieldNamesNoUpstream)
{
    for (const char* field : { "service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq" }) {
        for (const char* value : { "", "null", "[]", "true" }) {
            auto page = platform::parseUpstreamPage(R"({"items":[)" + entry("odd", specWith(field, value)) + R"(],"at":9})");
            CHECK_TRUE_TEXT(page.has_value() && page.value().upstreams.empty(), (std::string(field) + " " + value).c_str());
        }
    }
}

TEST(ForeignEntry, AddressOutOfRangeNamesNoUpstream)
{
    for (const char* address : { "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "10.0.0.1:80x", "10.0.0.1:+80", "10.0.0.1\\u0000x:80", "" }) {
        auto page = platform::parseUpstreamPage(R"({"items":[)" + entry("odd", specWith("address", "\"" + std::string(address) + "\"")) + R"(],"at":9})");
        CHECK_TRUE_TEXT(page.has_value() && page.value().upstreams.empty(), address);
    }
}

TEST(ForeignEntry, NumberOutOfRangeNamesNoUpstream)
{
    for (const char* slots : { "0", "-1", "1.5", "4294967296", "9223372036854775808", "1e300" }) {
        auto page = platform::parseUpstreamPage(R"({"items":[)" + entry("odd", specWith("slots", slots)) + R"(],"at":9})");
        CHECK_TRUE_TEXT(page.has_value() && page.value().upstreams.empty(), slots);
    }
}

TEST(ForeignEntry, NameThatIsNoHeaderValueNamesNoUpstream)
{
    // The name is sent to the upstream in a header.
    for (const std::string& name : { std::string("a\\r\\nX: 1"), std::string("a b"), std::string("\\u00e9"), repeated("a", 70000) }) {
        auto page = platform::parseUpstreamPage(R"({"items":[)" + entry(name, goodSpec) + R"(],"at":9})");
        CHECK_TRUE_TEXT(page.has_value() && page.value().upstreams.empty(), name.substr(0, 20).c_str());
    }
}

TEST(ForeignEntry, PageThatEndsWithAnEntryWithoutNameContinuesAfterTheOneBefore)
{
    // Guards against taking such a page for the last one, as if the workers after it were gone.
    for (const char* last : { "7", "{}", R"({"metadata":7})", R"({"metadata":{"name":"\udcff"}})", R"({"metadata":{"name":""}})", "1e400" }) {
        auto page = platform::parseUpstreamPage(R"({"items":[)" + entry("a", goodSpec) + "," + last + R"(],"hasMore":true,"at":9})");
        CHECK_TRUE_TEXT(page.has_value(), last);
        STRCMP_EQUAL_TEXT("a", page.value().next.c_str(), last);
        auto nodes = platform::parseNodePage(R"({"items":[{"metadata":{"name":"n"}},)" + std::string(last) + R"(],"hasMore":true,"at":9})");
        CHECK_TRUE_TEXT(nodes.has_value(), last);
        STRCMP_EQUAL_TEXT("n", nodes.value().next.c_str(), last);
    }
    // The list can't be continued, so it is not whole.
    CHECK_FALSE(platform::parseUpstreamPage(R"({"items":[7],"hasMore":true,"at":9})").has_value());
}

TEST(ForeignEntry, LastOfSeveralMembersWithOneNameCounts)
{
    auto page = platform::parseUpstreamPage(R"({"items":[],"items":[{"metadata":{"name":"a"},"metadata":{"name":"b","name":"c"},"spec":)" + goodSpec + R"(}],"at":1,"at":2})").value();
    LONGS_EQUAL(2, page.revision);
    STRCMP_EQUAL("c", page.upstreams.at(0).id.text.c_str());
}

TEST(ForeignEntry, AnswerThatIsCutOffIsNoList)
{
    auto whole = R"({"items":[)" + entry("a", goodSpec) + "," + entry("z", goodSpec) + R"(],"hasMore":false,"at":9})";
    for (size_t length = 0; length < whole.size(); ++length)
        CHECK_FALSE(platform::parseUpstreamPage(whole.substr(0, length)).has_value());
    CHECK_FALSE(platform::parseUpstreamPage(whole + "x").has_value());
    LONGS_EQUAL(2, platform::parseUpstreamPage(whole + "\r\n").value().upstreams.size());
}

TEST(ForeignEntry, UnreadableNodeDoesNotHideTheOthers)
{
    for (const auto& spec : unreadableSpecs()) {
        auto page = platform::parseNodePage(R"({"items":[)" + entry("n", R"({"zone":"z","address":"10.0.0.1:1"})") + "," + entry("odd", spec) + R"(],"hasMore":true,"at":9})");
        CHECK_TRUE_TEXT(page.has_value(), spec.substr(0, 40).c_str());
        CHECK_TRUE(page.value().nodes.size() == 1 && page.value().next == "odd");
    }
}

TEST(ForeignEntry, UnreadableStatusDoesNotHideTheManifest)
{
    for (const auto& status : unreadableSpecs()) {
        auto manifest = platform::parseManifest(R"({"metadata":{"name":"main"},"spec":{"version":7},"status":)" + status + "}");
        CHECK_TRUE_TEXT(manifest.has_value() && manifest.value().version == 7, status.substr(0, 40).c_str());
    }
}

TEST(ForeignEntry, AnyNameCanBeContinuedAfter)
{
    // Guards against a list that cannot be read on, because the name ends the query or the request line.
    STRCMP_EQUAL("i-7f.a_b~", http::percentEncode("i-7f.a_b~").c_str());
    STRCMP_EQUAL("a%20b%26watch%3D1%23%0D%0A%2B%25%C3%A9", http::percentEncode("a b&watch=1#\r\n+%\xc3\xa9").c_str());
}
