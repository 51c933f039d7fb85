#include "report/RequestStory.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

TEST_GROUP(RequestStory)
{
    report::RequestStory story { "r1" };

    bool tells(const std::string& part) const { return story.text().find(part) != std::string::npos; }
};

TEST(RequestStory, RefusalForAKeyThatCouldNotBeConfirmed)
{
    story.read(R"({"time_ms":1000,"level":"WARNING","event":"dependency_lost","dependency":"store.manifest","detail":"status 503"})", "a");
    story.read(R"({"time_ms":1000,"level":"WARNING","event":"dependency_lost","dependency":"store.manifest","detail":"elsewhere"})", "b");
    story.read(R"({"time_ms":3900,"event":"request_arrived","request":"r1","outcome":"ManifestStale","manifest_version":1,"manifest_age_ms":2884,"upstreams_age_ms":39})", "a");
    story.read(R"({"time_ms":3901,"event":"answered_itself","request":"r1","status":503,"code":"ManifestStale"})", "a");
    CHECK_TRUE(tells("cause: the node could not confirm the manifest, and so the key: it was last confirmed 2884 ms before; store.manifest was lost 2901 ms before (status 503)\n"));
    CHECK_FALSE(tells("elsewhere"));
}

TEST(RequestStory, StreamThatBrokeAndWasResumedLate)
{
    story.read(R"({"time_ms":5000,"event":"attempt_ended","request":"r1","outcome":"lost-in-answer","upstream":"u1","connection":"new","backup":"u2","last_event":4})", "a");
    story.read(R"({"time_ms":5010,"event":"attempt_ended","request":"r1","outcome":"copy-missing","upstream":"u2","connection":"kept","from_copy":1,"last_event":4})", "a");
    story.read(R"({"time_ms":5900,"event":"upstream_unlisted","upstream":"u1"})", "a");
    story.read(R"({"time_ms":5901,"event":"upstream_unlisted","upstream":"u9"})", "a");
    story.read(R"({"time_ms":7000,"event":"attempt_ended","request":"r1","outcome":"answered","upstream":"u3","connection":"new"})", "a");
    story.read(R"({"time_ms":7001,"event":"request_ended","request":"r1","outcome":"answered","took_ms":2684,"route":"stream","sends":3,"runs":2,"first_event_ms":154,"longest_gap_ms":1279})", "a");
    CHECK_TRUE(tells("cause: answered in spite of losses: u1 lost-in-answer (upstream_unlisted 900 ms after); u2 copy-missing\n"));
    CHECK_TRUE(tells("longest gap 1279 ms"));
    CHECK_FALSE(tells("u9"));
}

TEST(RequestStory, BookingThatEnded502)
{
    story.read(R"({"time_ms":9001,"event":"answered_itself","request":"r1","status":502,"code":"OutcomeUnknown"})", "a");
    story.read(R"({"time_ms":9000,"event":"draining","requests":1})", "b");
    story.read(R"({"time_ms":9000,"event":"attempt_ended","request":"r1","outcome":"lost-before-answer","upstream":"u1","connection":"kept"})", "a");
    CHECK_TRUE(tells("cause: u1 lost-before-answer; it may have run, so it was not sent again\n"));
    CHECK_FALSE(tells("draining"));
    CHECK_TRUE(story.text().find("attempt at u1") < story.text().find("the node answered 502"));
}

TEST(RequestStory, UnknownRequestAndDamagedLinesAreSaidSo)
{
    story.read("no json", "a");
    story.read(R"({"time_ms":"x","event":"request_ended","request":"r1"})", "a");
    CHECK_FALSE(story.isFound());
    CHECK_TRUE(tells("cause: no line names this request"));
    CHECK_PROPERTY("any line is read or passed over", [](const std::string& line) {
        report::RequestStory any("r1");
        any.read(line, "a");
        any.read("{\"time_ms\":1,\"event\":\"request_ended\",\"request\":\"r1\",\"outcome\":\"" + line, "a");
        RC_ASSERT(!any.text().empty());
    });
}
