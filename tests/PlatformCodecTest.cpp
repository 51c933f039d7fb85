#include "platform/BootSettings.h"
#include "platform/BoundedDuration.h"
#include "platform/ManifestCodec.h"
#include "platform/NodeCodec.h"
#include "platform/OriginCodec.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/UpstreamCodec.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;

static const std::string completeSettings = "nodeName=front-1\nzone=dc-a\nregion=r\nlisten.front=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\nportRange=7340,7355\n"
                                            "limits.cores=2\nbounds.drainMs=3000\nbounds.configApplyMs=3000\nbounds.graceS=8\nbounds.strictRevoke=true\nbounds.revokeMs=5000\n"
                                            "bounds.budgetRatio=0.8\nbounds.budgetWindowS=10\nbounds.retrySlack=150\nplatform.address=10.200.1.7:8223\nsomething.new=1\n";

static std::string settingsWithout(const std::string& name)
{
    auto text = completeSettings;
    auto begin = text.find(name + "=");
    return text.erase(begin, text.find('\n', begin) + 1 - begin);
}

TEST_GROUP(PlatformCodec) {};

TEST(PlatformCodec, SettingsAreParsedAndUnknownOnesIgnored)
{
    auto settings = platform::parseBootSettings(completeSettings).value();
    STRCMP_EQUAL("front-1", settings.vmName.text.c_str());
    STRCMP_EQUAL("10.1.0.40:8227", settings.clientAddress.text().c_str());
    STRCMP_EQUAL("10.1.0.40:7340", settings.adminAddress.text().c_str());
    STRCMP_EQUAL("10.1.0.40:7341", settings.peerAddress.text().c_str());
    CHECK_TRUE(settings.revocationBound == milliseconds(5000));
    CHECK_TRUE(settings.terminationGrace == milliseconds(8000));
    LONGS_EQUAL(2, settings.cores);
}

TEST(PlatformCodec, MissingOrMalformedSettingsAreNamed)
{
    for (const char* name : { "nodeName", "zone", "region", "listen.front", "listen.ready", "portRange", "bounds.drainMs", "bounds.configApplyMs", "bounds.graceS", "bounds.revokeMs",
             "bounds.budgetRatio", "bounds.budgetWindowS", "bounds.retrySlack", "platform.address" }) {
        auto missing = platform::parseBootSettings(settingsWithout(name));
        CHECK_FALSE(missing.has_value());
        CHECK_TRUE_TEXT(missing.error().detail.starts_with(name), missing.error().detail.c_str());
    }
    for (const char* name : { "listen.front", "portRange", "bounds.graceS", "platform.address" }) {
        auto malformed = platform::parseBootSettings(settingsWithout(name) + name + "=x\n");
        CHECK_FALSE(malformed.has_value());
        CHECK_TRUE(malformed.error().detail.starts_with(name));
    }
}

TEST(PlatformCodec, SettingsOfLoadAndMemoryAreOptional)
{
    auto without = platform::parseBootSettings(completeSettings).value();
    LONGS_EQUAL(0, without.memoryBytes);
    CHECK_FALSE(without.sharesUpstreams);
    auto with = platform::parseBootSettings(std::string(completeSettings) + "limits.memoryMb=88\ncontracts=base,pool,stream\n").value();
    LONGS_EQUAL(88 * 1024 * 1024, with.memoryBytes);
    CHECK_TRUE(with.sharesUpstreams);
    for (const char* other : { "limits.memoryMb=x\ncontracts=base,pools\n", "limits.memoryMb=-5\ncontracts=\n" }) {
        auto settings = platform::parseBootSettings(std::string(completeSettings) + other).value();
        LONGS_EQUAL(0, settings.memoryBytes);
        CHECK_FALSE(settings.sharesUpstreams);
    }
}

TEST(PlatformCodec, RevocationBoundIsOffWithoutStrictRevoke)
{
    auto settings = platform::parseBootSettings(settingsWithout("bounds.strictRevoke") + "bounds.strictRevoke=false\n").value();
    CHECK_TRUE(settings.revocationBound == base::Duration {});
}

static std::string pageWithSpec(const std::string& spec)
{
    return R"({"items":[{"metadata":{"name":"i-1"},"spec":)" + spec + R"(}],"hasMore":false,"at":9})";
}

TEST(PlatformCodec, UpstreamEntriesAreParsed)
{
    auto page = platform::parseUpstreamPage(pageWithSpec(R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"draining","born":1790266325356.0,"seq":4,"version":"v1","coldLeftMs":1200.5})")).value();
    LONGS_EQUAL(9, page.revision);
    const auto& upstream = page.upstreams.at(0);
    STRCMP_EQUAL("i-1", upstream.id.text.c_str());
    CHECK_TRUE(upstream.isDraining);
    CHECK_TRUE(upstream.incarnation == 1790266325356U);
}

TEST(PlatformCodec, InvalidUpstreamEntriesAreSkipped)
{
    for (const char* spec : { "null", "7", "{}", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"resting","version":"v1","coldLeftMs":0,"seq":4})",
             R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":64,"state":"ready","version":"v1","coldLeftMs":0,"seq":4})", R"({"service":"s","address":"nowhere","zone":"z","slots":64,"state":"ready","version":"v1","coldLeftMs":0,"seq":4})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"many","state":"ready","version":"v1","coldLeftMs":0,"seq":4})", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":0,"state":"ready","version":"v1","coldLeftMs":0,"seq":4})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":1.5,"version":"v1","coldLeftMs":0,"seq":4})", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":"x","version":"v1","coldLeftMs":0,"seq":4})" }) {
        auto page = platform::parseUpstreamPage(pageWithSpec(spec));
        CHECK_TRUE_TEXT(page.has_value() && page.value().upstreams.empty(), spec);
    }
    CHECK_FALSE(platform::parseUpstreamPage("not json").has_value());
}

TEST(PlatformCodec, NextPageStartsAfterTheLastName)
{
    auto page = platform::parseUpstreamPage(R"({"items":[{"metadata":{"name":"a"}},{"metadata":{"name":"b"}}],"hasMore":true,"at":9})").value();
    STRCMP_EQUAL("b", page.next.c_str());
}

TEST(PlatformCodec, UpstreamChangesKeepTheirOrder)
{
    auto changes = platform::parseUpstreamChanges(R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a"}}},
        {"deleted":false,"object":{"metadata":{"name":"b"},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","version":"v1","coldLeftMs":0,"seq":4}}},
        {"deleted":false,"object":{"metadata":{"name":"c"},"spec":{"state":"odd"}}}],"at":12})")
                       .value();
    LONGS_EQUAL(12, changes.version.revision);
    CHECK_FALSE(changes.changes.at(0).current.has_value());
    CHECK_TRUE(changes.changes.at(1).current.has_value());
    CHECK_FALSE(changes.changes.at(2).current.has_value());
}

TEST(PlatformCodec, FormattedNodesAreParsedAndInvalidOnesSkipped)
{
    sync::NodeRecord node { { "n" }, { "dc" }, "10.0.0.1:7341" };
    auto page = platform::parseNodePage(R"({"items":[)" + platform::formatNode(node) + R"(,{"spec":4}]})").value();
    LONGS_EQUAL(1, page.nodes.size());
    CHECK_TRUE(page.nodes.at(0) == node);
}

static std::string originPage(const std::string& items)
{
    return R"({"items":[)" + items + R"(],"hasMore":false,"at":9})";
}

TEST(PlatformCodec, FormattedOriginsAreParsedAndInvalidOnesSkipped)
{
    origin::NodeRecords records { { "n" }, 7, { { { "a1" }, { { "s" }, { "v1" } } }, { { "a2" }, { { "s" }, { "v1" } } }, { { "a3" }, { { "s" }, { "v2" } } } } };
    origin::VersionStatement statement { 8, 3, {}, std::chrono::seconds(60) };
    statement.services[{ "one" }].record({ { { { "v1" }, 4 } } }, 1000);
    statement.services[{ "several" }].record({ { { { "v1" }, 8 } } }, 1000);
    statement.services[{ "several" }].record({ { { { "v1" }, 0 }, { { "v2" }, 7 } } }, 2000);
    origin::StoredOrigins read;
    auto next = platform::parseOriginPage(originPage(platform::formatRecords(records) + R"(,{"spec":4},{"metadata":{"name":"node.x"}},[],)" + platform::formatStatement(statement)), read);
    CHECK_TRUE(next.has_value() && next.value().empty());
    LONGS_EQUAL(1, read.nodes.size());
    CHECK_TRUE(read.nodes.front().node == records.node && read.nodes.front().revision == 7 && read.nodes.front().streams == records.streams);
    CHECK_TRUE(read.statement.revision == 8 && read.statement.era == 3 && read.statement.longestClientTime == std::chrono::seconds(60) && read.statement.services == statement.services);
    CHECK_TRUE(platform::parseRevision(platform::formatRecords(records)).value() == 7);
    CHECK_FALSE(platform::parseRevision("{}").has_value());
    CHECK_FALSE(platform::parseOriginPage("[]", read).has_value());
}

TEST(PlatformCodec, TimesWithoutRecordsAreParsedAndUnknownIfTheyAreMissing)
{
    origin::NodeRecords records { { "n" }, 7, {}, { { 2, 30 }, { { { 1, 10 }, { 2, 20 }, 1000 }, { { 2, 25 } } } } };
    origin::VersionStatement statement { 8, 3, {} };
    statement.services[{ "s" }].record({ { { { "v1" }, 8 } } }, 1000, { {}, { 1, 10 } });
    statement.services[{ "s" }].record({ { { { "v2" }, 8 } } }, 2000, { sync::StoreVersion { 1, 19 }, { 1, 20 } });
    origin::StoredOrigins read;
    CHECK_TRUE(platform::parseOriginPage(originPage(platform::formatRecords(records) + ',' + platform::formatStatement(statement)), read).has_value());
    CHECK_TRUE(read.nodes.front().coverage == records.coverage);
    CHECK_TRUE(read.statement.services == statement.services);
    LONGS_EQUAL(19, read.statement.services.at({ "s" }).entries.back().from.revision);
    LONGS_EQUAL(20, read.statement.services.at({ "s" }).entries.front().until.revision);
    // A gap that cannot be read is unbounded.
    origin::StoredOrigins older;
    CHECK_TRUE(platform::parseOriginPage(originPage(R"({"metadata":{"name":"node.x","revision":4},"spec":{"streams":{}}},{"metadata":{"name":"node.y","revision":4},"spec":{"coverage":{"through":[1,9],"gaps":[7]}}})"), older).has_value());
    CHECK_TRUE(older.nodes.front().coverage == origin::RecordCoverage {});
    CHECK_TRUE(older.nodes.back().coverage.gaps.front() == origin::RecordGap {});
}

// One that cannot be read must not look like a service with one version.
TEST(PlatformCodec, StatementThatCannotBeReadStandsForSeveralVersions)
{
    origin::StoredOrigins read;
    CHECK_TRUE(platform::parseOriginPage(originPage(R"({"metadata":{"name":"versions","revision":4},"spec":{"era":1,"versions":{"s":[7]}}})"), read).has_value());
    LONGS_EQUAL(1, read.statement.services.at({ "s" }).versions().count({}));
}

TEST(PlatformCodec, HugeTimesAreBounded)
{
    // Found by the fuzzer: the conversion to the duration type overflowed.
    boost::beast::http::fields headers;
    headers.set("Redwingseam-Deadline-Ms", "18446744073709551615");
    headers.set("Keep-Alive", "timeout=9223372036854775807");
    CHECK_TRUE(*platform::PlatformHeaderCodec::readRequest(headers).timeout == std::chrono::hours(24));
    CHECK_TRUE(*platform::PlatformHeaderCodec::readResponse(200, headers).keepAlive == std::chrono::hours(24));
}

TEST(PlatformCodec, HugeTimesAndCountsOfAManifestAreBounded)
{
    // Found by the fuzzer on x86-64: the conversion to the duration type overflowed.
    auto manifest = platform::parseManifest(R"({"spec":{"version":1,"routes":[{"host":"h","pathPrefix":"/","routeType":"streaming","service":"s","timeoutMs":2e29,"priority":4294967296}],
        "services":[{"name":"s","maxConnections":4294967298,"engine":{"slots":4294967296,"handleS":2.00444e29}}],"limits":{"idleTimeoutMs":1e300}}})")
                        .value();
    CHECK_TRUE(manifest.routes.front().timeout == platform::longestDuration);
    CHECK_TRUE(manifest.routes.front().priority == UINT32_MAX);
    CHECK_TRUE(manifest.services.front().maxConnections == UINT32_MAX);
    CHECK_TRUE(manifest.services.front().engine->slots == UINT32_MAX);
    CHECK_TRUE(manifest.services.front().engine->backupLifetime == platform::longestDuration);
    CHECK_TRUE(manifest.limits.idleTimeout == platform::longestDuration);
}

TEST(PlatformCodec, HugeTimesOfTheSettingsAreBounded)
{
    auto settings = platform::parseBootSettings(settingsWithout("bounds.graceS") + "bounds.graceS=1e29\n").value();
    CHECK_TRUE(settings.terminationGrace == platform::longestDuration);
}

TEST(PlatformCodec, RequestHeadersAreParsed)
{
    boost::beast::http::fields headers;
    headers.set("Redwingseam-Attempt-Id", "a");
    headers.set("Redwingseam-Deadline-Ms", "2500.7");
    headers.set("Redwingseam-Token-Usage", "8000,650");
    headers.set("Last-Event-Id", "12");
    auto metadata = platform::PlatformHeaderCodec::readRequest(headers);
    CHECK_TRUE(*metadata.timeout == milliseconds(2500));
    LONGS_EQUAL(8000, metadata.promptTokens.value());
    LONGS_EQUAL(650, metadata.maxOutputTokens.value());
    LONGS_EQUAL(12, *metadata.lastEventId);
    CHECK_FALSE(metadata.promptKey.has_value());
    headers.set("Redwingseam-Prompt-Prefix", "5c1e07a2:200,e4402b7d:7800");
    auto key = platform::PlatformHeaderCodec::readRequest(headers).promptKey;
    // Only the part that is the request's own counts.
    headers.set("Redwingseam-Prompt-Prefix", "91bd3f06:300,e4402b7d:7800");
    CHECK_TRUE(key.has_value() && key == platform::PlatformHeaderCodec::readRequest(headers).promptKey);
    headers.set("Redwingseam-Prompt-Prefix", "5c1e07a2:200,91bd3f06:7800");
    CHECK_TRUE(key != platform::PlatformHeaderCodec::readRequest(headers).promptKey);
    auto parts = platform::PlatformHeaderCodec::readRequest(headers).promptParts;
    LONGS_EQUAL(1, parts.size());
    headers.set("Redwingseam-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    // The last part is the request's own.
    LONGS_EQUAL(2, platform::PlatformHeaderCodec::readRequest(headers).promptParts.size());
    CHECK_TRUE(platform::PlatformHeaderCodec::readRequest(headers).promptParts.front() == parts.front());
    std::string endless;
    for (int i = 0; i < 1000; ++i)
        endless += std::to_string(i) + ":1,";
    headers.set("Redwingseam-Prompt-Prefix", endless);
    LONGS_EQUAL(gateway::maxPromptParts, platform::PlatformHeaderCodec::readRequest(headers).promptParts.size());
    headers.set("Redwingseam-Deadline-Ms", "soon");
    headers.set("Last-Event-Id", "-1");
    metadata = platform::PlatformHeaderCodec::readRequest(headers);
    CHECK_FALSE(metadata.timeout.has_value());
    CHECK_FALSE(metadata.lastEventId.has_value());
}
