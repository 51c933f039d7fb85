#include "fakes/FleetFixture.h"
#include "manifest/CheckManifest.h"
#include "manifest/CompareManifests.h"
#include "platform/ManifestCodec.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using manifest::FindingKind;
using std::chrono::milliseconds;

TEST_GROUP(ManifestCheck)
{
    manifest::Manifest sound = fakes::FleetFixture::makeManifest();

    static std::string textOf(const manifest::Findings& findings)
    {
        std::string text;
        for (const auto& finding : findings)
            text += std::string(base::nameOf(finding.kind)) + " " + finding.entry + ": " + finding.text + "\n";
        return text;
    }

    // The manifest has this one fault.
    static void checkOnly(const manifest::Manifest& manifest, FindingKind kind, const std::string& entry, const std::string& part)
    {
        auto findings = manifest::checkManifest(manifest);
        auto text = textOf(findings);
        LONGS_EQUAL_TEXT(1, findings.size(), text.c_str());
        CHECK_TRUE_TEXT(findings.front().kind == kind && findings.front().entry == entry, text.c_str());
        CHECK_TRUE_TEXT(findings.front().text.find(part) != std::string::npos, text.c_str());
    }

    std::string differences(const manifest::Manifest& after) const { return textOf(manifest::compareManifests(sound, after)); }
    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
};

TEST(ManifestCheck, SoundManifestHasNoFindings)
{
    STRCMP_EQUAL("", textOf(manifest::checkManifest(sound)).c_str());
    STRCMP_EQUAL("", differences(sound).c_str());
}

TEST(ManifestCheck, RouteHiddenByAnotherOfTheSameHostAndPrefix)
{
    auto hidden = sound.routes[1];
    hidden.name.text = "late";
    hidden.host = "H";
    sound.routes.push_back(hidden);
    checkOnly(sound, FindingKind::NeverMatches, "route \"late\"", "hidden by route \"read\"");
}

TEST(ManifestCheck, LongerPrefixOfTheSameHostHidesNothing)
{
    auto longer = sound.routes[1];
    longer.name.text = "longer";
    longer.prefix = "/read/more/";
    sound.routes.push_back(longer);
    STRCMP_EQUAL("", textOf(manifest::checkManifest(sound)).c_str());
}

TEST(ManifestCheck, PrefixWithoutSlashes)
{
    sound.routes[1].prefix = "read/";
    checkOnly(sound, FindingKind::Error, "route \"read\"", "slash");
}

TEST(ManifestCheck, ServicesThatAreNotThereOrGetNothing)
{
    auto unknown = sound;
    unknown.routes[1].services = { { { "gone" }, 1 } };
    checkOnly(unknown, FindingKind::Error, "route \"read\"", "\"gone\" is not listed");
    auto none = sound;
    none.routes[1].services.clear();
    checkOnly(none, FindingKind::Error, "route \"read\"", "no service");
    auto idle = sound;
    idle.routes[1].services.push_back({ { "engines" }, 0 });
    checkOnly(idle, FindingKind::NeverMatches, "route \"read\"", "weight 0");
}

TEST(ManifestCheck, AccountsAndKeys)
{
    auto keyless = sound;
    keyless.accounts->push_back({ { "other" }, {}, std::nullopt });
    checkOnly(keyless, FindingKind::NeverMatches, "account \"other\"", "no key");
    auto twice = sound;
    twice.accounts->push_back({ { "other" }, { { "key" } }, std::nullopt });
    checkOnly(twice, FindingKind::Error, "account \"other\"", "belongs to account \"account\"");
}

TEST(ManifestCheck, EmptyListOfAccountsAdmitsNobody)
{
    auto nobody = sound;
    nobody.accounts->clear();
    checkOnly(nobody, FindingKind::Error, "accounts", "every request that needs a key is refused");
    CHECK_TRUE(contains(differences(nobody), "account \"account\": removed"));
    CHECK_FALSE(contains(differences(nobody), "need no key"));
    auto open = sound;
    open.accounts.reset();
    STRCMP_EQUAL("", textOf(manifest::checkManifest(open)).c_str());
    CHECK_TRUE(contains(differences(open), "accounts: requests need no key any more"));
}

TEST(ManifestCheck, RepeatedNames)
{
    sound.services.push_back(sound.services[1]);
    checkOnly(sound, FindingKind::Error, "service \"desk\"", "same name");
}

TEST(ManifestCheck, TimesThatCannotAllBeKept)
{
    auto objective = sound;
    objective.routes[2].latencyObjective = milliseconds(1300);
    checkOnly(objective, FindingKind::Contradiction, "route \"book\"", "1300 ms is over the timeout of 1200 ms");
    auto gap = sound;
    gap.routes[0].gapObjective = milliseconds(26000);
    checkOnly(gap, FindingKind::Contradiction, "route \"stream\"", "gap objective");
    auto attempts = sound;
    attempts.routes[1].maxAttempts = 4;
    checkOnly(attempts, FindingKind::Contradiction, "route \"read\"", "4 attempts of 400 ms do not fit");
}

TEST(ManifestCheck, AttemptsThatDoNotFitTheKind)
{
    auto single = sound;
    single.routes[0].maxAttempts = 1;
    checkOnly(single, FindingKind::Contradiction, "route \"stream\"", "only one attempt");
    auto repeated = sound;
    repeated.routes[2].maxAttempts = 2;
    checkOnly(repeated, FindingKind::NeverMatches, "route \"book\"", "may not be repeated");
}

TEST(ManifestCheck, LimitsThatContradictEachOther)
{
    auto idle = sound;
    idle.limits.idleTimeout = milliseconds(1000);
    checkOnly(idle, FindingKind::Contradiction, "limits", "idle timeout");
    auto engine = sound;
    engine.services[0].engine->kvCapacityTokens = 0;
    checkOnly(engine, FindingKind::Contradiction, "service \"engines\"", "no memory");
}

TEST(ManifestCheck, DifferencesTellWhatHappensToRequests)
{
    auto after = sound;
    after.routes[1].services = { { { "engines" }, 1 } };
    after.routes[1].timeout = milliseconds(900);
    after.routes.pop_back();
    after.accounts->front().keys = { { "another-long-key" } };
    after.limits.maxBodyBytes = 1000;
    auto text = differences(after);
    CHECK_TRUE_TEXT(contains(text, "route \"read\": requests to h/read/ go to engines (1) in place of desk (1)"), text.c_str());
    CHECK_TRUE_TEXT(contains(text, "route \"read\": timeout 1200 ms -> 900 ms"), text.c_str());
    CHECK_TRUE_TEXT(contains(text, "route \"book\": removed; requests to h/book/ are answered 404"), text.c_str());
    CHECK_TRUE_TEXT(contains(text, "limits: bytes of a body 4194304 -> 1000"), text.c_str());
    CHECK_TRUE_TEXT(contains(text, "key ... stops working") && contains(text, "key anot... is new"), text.c_str());
    CHECK_FALSE(contains(text, "another-long-key"));
}

TEST(ManifestCheck, FileMayHoldTheManifestOrTheStoresObject)
{
    std::string spec = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/r/\",\"routeType\":\"idempotent\",\"service\":\"s\",\"timeoutMs\":1000}]}";
    for (const auto& text : { spec, "{\"metadata\":{\"name\":\"main\"},\"spec\":" + spec + ",\"status\":null}" }) {
        auto parsed = platform::parseManifestFile(text);
        CHECK_TRUE(parsed.has_value());
        LONGS_EQUAL(3, parsed.value().version);
        LONGS_EQUAL(1, parsed.value().routes.size());
    }
}

TEST(ManifestCheck, UnreadableFileTellsWhere)
{
    auto truncated = platform::parseManifestFile("{\"version\":3,\"routes\":[{");
    CHECK_TRUE(!truncated && contains(truncated.error().detail, "not JSON at byte 25"));
    for (const char* text : { "", "[]", "7", "\xff\xfe", "{\"spec\":[]}", "{\"routes\":[]}" })
        CHECK_TRUE_TEXT(!platform::parseManifestFile(text), text);
}
