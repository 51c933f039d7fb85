#include "PropertyCheck.h"
#include "redwingseam/settings/BranchCodec.h"
#include "redwingseam/settings/FieldSpec.h"
#include "redwingseam/settings/RequestSettings.h"
#include "redwingseam/settings/Tree.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using settings::Field;

namespace {

settings::Tree treeOf(const std::vector<std::pair<std::string, std::string>>& branches)
{
    settings::Tree tree;
    uint64_t version = 0;
    for (const auto& [path, json] : branches)
        tree.applyIfNewer(settings::parseBranch(path, { ++version }, json).value());
    return tree;
}

} // namespace

TEST_GROUP(SettingsTree) {};

TEST(SettingsTree, BranchInheritsWhatItDoesNotOverride)
{
    auto tree = treeOf({ { "/", R"({"deadline_ms":5000})" }, { "/work/booking", R"({"rank":"urgent"})" } });
    auto deadline = tree.resolve("/work/booking/press-slot", Field::DeadlineMs);
    LONGS_EQUAL(5000, deadline.value);
    STRCMP_EQUAL("/", deadline.path.c_str());
    STRCMP_EQUAL("/work/booking", tree.resolve("/work/booking/press-slot", Field::Rank).path.c_str());
    STRCMP_EQUAL("", tree.resolve("/work/booking", Field::Weight).path.c_str());
}

TEST(SettingsTree, ClientPrecedesWorkPrecedesRegionPrecedesRoot)
{
    auto tree = treeOf({ { "/", R"({"weight":1,"deadline_ms":1,"queue_limit":1,"max_tokens":1})" },
        { "/regions/north", R"({"weight":2,"deadline_ms":2,"queue_limit":2})" },
        { "/work/plan", R"({"weight":3,"deadline_ms":3})" },
        { "/clients/a", R"({"weight":4})" } });
    auto requestSettings = settings::resolveRequestSettings(tree, { { "a" }, { "plan" }, { "north" } });
    LONGS_EQUAL(4, requestSettings.weight);
    LONGS_EQUAL(3000, requestSettings.deadline.count());
    LONGS_EQUAL(2, requestSettings.queueLimit);
    LONGS_EQUAL(1, requestSettings.maxTokens);
}

TEST(SettingsTree, BadEditNamesPointerAndExpectation)
{
    auto unknown = settings::parseBranch("/", {}, R"({"colour":1})");
    CHECK_TRUE(unknown.error().code == base::ResultCode::SettingsInvalid);
    STRCMP_EQUAL("/colour: expected a known field", unknown.error().detail.c_str());
    auto range = settings::parseBranch("/", {}, R"({"weight":0})");
    STRCMP_EQUAL("/weight: expected an integer from 1 to 1000, found 0", range.error().detail.c_str());
    auto unreadable = settings::parseBranch("/work", {}, "{");
    CHECK_TRUE(unreadable.error().code == base::ResultCode::SettingsUnreadable);
    STRCMP_EQUAL("/work: the branch is not JSON", unreadable.error().detail.c_str());
    CHECK_FALSE(settings::parseBranch("/Bad Path", {}, "{}").has_value());
    CHECK_FALSE(settings::parseBranch("/", {}, R"({"weight":18446744073709551615})").has_value());
}

TEST(SettingsTree, FormattedBranchParsesToTheSameBranch)
{
    CHECK_PROPERTY("format, then parse", [](const std::vector<uint32_t>& words) {
        settings::Branch branch { "/x", { 3 }, false, {} };
        for (size_t i = 0; i < words.size() && i < settings::fieldCount; ++i) {
            const auto& spec = settings::fieldSpecs[i];
            auto width = static_cast<uint64_t>(spec.maximum - spec.minimum + 1);
            if (words[i] % 2)
                branch.values[i] = spec.minimum + static_cast<int64_t>(words[i] % width);
        }
        auto parsed = settings::parseBranch("/x", { 3 }, settings::formatBranch(branch));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT((parsed.value() == branch));
    });
}

TEST(SettingsTree, NeverRevertsToAnOlderVersion)
{
    CHECK_PROPERTY("any order of versions leaves the highest", [](const std::vector<uint8_t>& versions) {
        settings::Tree tree;
        uint64_t highest = 0;
        for (auto version : versions) {
            settings::Branch branch { "/", { version + 1U }, false, {} };
            branch.values[settings::indexOf(Field::Weight)] = version + 1;
            tree.applyIfNewer(branch);
            highest = std::max<uint64_t>(highest, version + 1U);
            RC_ASSERT(tree.branch("/")->version.value == highest);
        }
    });
}
