#include "forward/AdmissionRule.h"
#include "forward/ChooseService.h"
#include "manifest/ManifestHolder.h"
#include "platform/ManifestCodec.h"

#include "PropertyCheck.h"
#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using base::ResultCode;
using std::chrono::milliseconds;

static base::Instant at(int64_t millis)
{
    return base::Instant(milliseconds(millis));
}

static manifest::Manifest manifestOf(uint64_t version)
{
    auto manifest = fakes::FleetFixture::makeManifest();
    manifest.version = version;
    return manifest;
}

TEST_GROUP(Manifest) {};

TEST(Manifest, VersionNeverGoesBackWhateverTheOrderOfReads)
{
    CHECK_PROPERTY("the current version and its confirmation time only increase; an older version changes neither", [](const std::vector<std::pair<uint8_t, uint8_t>>& reads) {
        manifest::ManifestHolder holder;
        uint64_t highest = 0;
        base::Instant confirmed {};
        for (auto [version, moment] : reads) {
            bool isChanged = holder.update(manifestOf(1 + version), {}, at(moment));
            RC_ASSERT(isChanged == (1U + version > highest));
            if (1U + version >= highest)
                confirmed = std::max(confirmed, at(moment));
            highest = std::max<uint64_t>(highest, 1 + version);
            RC_ASSERT(holder.state().index->manifest().version == highest);
            RC_ASSERT(holder.state().confirmedAt == confirmed);
        }
    });
}

TEST(Manifest, UnchangedVersionConfirmsOnlyItself)
{
    manifest::ManifestHolder holder;
    holder.update(manifestOf(5), {}, at(10));
    holder.confirmUnchanged(4, at(20));
    CHECK_TRUE(holder.state().confirmedAt == at(10));
    holder.confirmUnchanged(5, at(30));
    CHECK_TRUE(holder.state().confirmedAt == at(30));
}

TEST(Manifest, RouteWithTheLongestPrefixOfTheHostIsChosen)
{
    manifest::Manifest manifest;
    for (const char* prefix : { "/a/", "/a/b/", "/" })
        manifest.routes.push_back({ { prefix }, "h", prefix });
    manifest.routes.push_back({ { "other" }, "i", "/a/b/c/" });
    manifest::ManifestIndex index(manifest);
    STRCMP_EQUAL("/a/b/", index.route("h", "/a/b/c/d")->name.text.c_str());
    STRCMP_EQUAL("/a/", index.route("h", "/a/bc")->name.text.c_str());
    STRCMP_EQUAL("/", index.route("h", "/b")->name.text.c_str());
    POINTERS_EQUAL(nullptr, index.route("j", "/a/"));
    POINTERS_EQUAL(nullptr, index.route("i", "/a/"));
}

TEST(Manifest, KeysAreAcceptedOnlyWhileTheManifestIsConfirmed)
{
    manifest::ManifestHolder holder;
    forward::AdmissionRule rule(milliseconds(4600));
    auto admit = [&](const char* path, const char* key, int64_t moment) { return rule.admit(holder.state(), { "h", path, { key }, at(moment) }).code; };
    CHECK_TRUE(admit("/book/", "key", 0) == ResultCode::ManifestUnknown);
    holder.update(manifestOf(1), {}, at(1000));
    CHECK_TRUE(admit("/book/", "key", 5599) == ResultCode::Ok);
    CHECK_TRUE(admit("/book/", "key", 5600) == ResultCode::ManifestStale);
    CHECK_TRUE(admit("/book/", "no", 5599) == ResultCode::UnknownClient);
    CHECK_TRUE(admit("/none/", "key", 5599) == ResultCode::UnknownRoute);
    // A client must not be rejected for either reason while the manifest may have changed.
    CHECK_TRUE(admit("/book/", "no", 5600) == ResultCode::ManifestStale);
    CHECK_TRUE(admit("/none/", "key", 5600) == ResultCode::ManifestStale);
}

TEST(Manifest, RevokedKeyIsRejectedAfterTheBoundForAnyOrderAndLatencyOfReads)
{
    // Model: the store revokes a key at `revokedAt`. Reads take time, and a read that started before the revocation
    // still returns the key.
    CHECK_PROPERTY("admitted implies sent before revocation plus bound", [](uint16_t revokedAt, const std::vector<std::pair<uint16_t, uint16_t>>& reads, const std::vector<uint16_t>& requests) {
        static constexpr int64_t bound = 5000;
        forward::AdmissionRule rule(milliseconds(bound - 400));
        for (auto moment : requests) {
            manifest::ManifestHolder holder;
            for (auto [began, took] : reads) {
                if (began + took > moment)
                    continue;
                auto manifest = manifestOf(began < revokedAt ? 1 : 2);
                if (began >= revokedAt)
                    manifest.accounts->front().keys.clear();
                holder.update(manifest, {}, at(began));
            }
            auto admission = rule.admit(holder.state(), { "h", "/book/", { "key" }, at(moment) });
            if (admission.code == ResultCode::Ok)
                RC_ASSERT(moment < revokedAt + bound);
        }
    });
}

TEST(Manifest, ServicesAreChosenByWeight)
{
    manifest::Route route;
    route.services = { { { "a" }, 90 }, { { "b" }, 10 }, { { "c" }, 0 } };
    std::map<std::string, int> counts;
    for (uint64_t random = 0; random < 1000; ++random)
        ++counts[forward::chooseService(route, random).text];
    LONGS_EQUAL(900, counts["a"]);
    LONGS_EQUAL(100, counts["b"]);
    LONGS_EQUAL(0, counts["c"]);
}

static const char* const storedManifest = R"({"metadata":{"name":"main","revision":4},"spec":{"version":7,"routes":[
  {"name":"r","host":"h","pathPrefix":"/a/","routeType":"streaming","timeoutMs":25000,"targetLatencyMs":4000,"priority":1,
   "weightedClusters":[{"service":"x","weight":90},{"service":"y","weight":10}],"maxAttempts":5,"skipAuth":false,"streamResume":true,"targetGapMs":700,"new":1},
  {"name":"q","host":"h","pathPrefix":"/b/","routeType":"non_idempotent","timeoutMs":1200.5,"service":"y","skipAuth":true}],
 "services":[{"name":"x","maxConnections":370,"engine":{"slots":64,"kvCapacityTokens":88000,"backups":true,"handleS":4.0}},{"name":"y","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0}]},"status":null})";

TEST(Manifest, IsParsedFromTheStoredText)
{
    auto manifest = platform::parseManifest(storedManifest).value();
    LONGS_EQUAL(7, manifest.version);
    const auto& stream = manifest.routes.at(0);
    CHECK_TRUE(stream.kind == manifest::RouteKind::Stream && stream.isRepeatable());
    CHECK_TRUE(stream.gapObjective == milliseconds(700));
    LONGS_EQUAL(90, stream.services.at(0).weight);
    const auto& plain = manifest.routes.at(1);
    CHECK_TRUE(plain.kind == manifest::RouteKind::NonIdempotent && plain.skipsAuthentication && !plain.isRepeatable());
    CHECK_TRUE(plain.timeout == std::chrono::microseconds(1200500));
    LONGS_EQUAL(1, plain.maxAttempts);
    LONGS_EQUAL(88000, manifest.services.at(0).engine->kvCapacityTokens);
    CHECK_FALSE(manifest.services.at(1).engine.has_value());
    STRCMP_EQUAL("k2", manifest.accounts->at(0).keys.at(1).text.c_str());
}

static manifest::ManifestState stateOf(const std::string& members)
{
    auto text = R"({"spec":{"version":7,"routes":[{"name":"open","host":"h","pathPrefix":"/open/","routeType":"idempotent","service":"y","skipAuth":true},{"name":"q","host":"h","pathPrefix":"/q/","routeType":"idempotent","service":"y"}])" + members + "}}";
    manifest::ManifestHolder holder;
    holder.update(platform::parseManifest(text).value(), text, at(0));
    return holder.state();
}

// Guards against a key check that fails open once the last account has been removed.
TEST(Manifest, EmptyListOfAccountsAdmitsNobody)
{
    forward::AdmissionRule rule(milliseconds(4600));
    auto admit = [&](const char* path, const char* key, const std::string& members) { return rule.admit(stateOf(members), { "h", path, { key }, at(1) }).code; };
    for (const char* list : { "[]", "null", "{}", "\"t\"", "[7]", R"([{"name":"t"}])", R"([{"name":"t","apiKeys":[]}])", R"([{"name":"t","apiKeys":[7]}])" }) {
        auto members = std::string(R"(,"tenants":)") + list;
        for (const char* key : { "", "key" })
            CHECK_TRUE_TEXT(admit("/q/", key, members) == ResultCode::UnknownClient, list);
        CHECK_TRUE_TEXT(admit("/open/", "", members) == ResultCode::Ok, list);
    }
    for (const char* key : { "", "key" })
        CHECK_TRUE(admit("/q/", key, "") == ResultCode::Ok);
}

TEST(Manifest, CorruptedTextIsParsedOrRejectedWithoutACrash)
{
    CHECK_PROPERTY("a corrupted text is either parsed or rejected", [](uint16_t position, uint8_t byte) {
        std::string text = storedManifest;
        text[position % text.size()] = static_cast<char>(byte);
        (void)platform::parseManifest(text);
        (void)platform::parseManifest(text.substr(0, position % text.size()));
    });
    for (const char* text : { "", "[]", "{}", R"({"spec":{}})", R"({"spec":{"version":-1}})", R"({"spec":{"version":1,"routes":[{}]}})", R"({"spec":{"version":1,"routes":[7]}})" })
        CHECK_FALSE(platform::parseManifest(text).has_value());
}
