#include "report/RequestTimeline.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

TEST_GROUP(RequestTimeline)
{
    report::RequestTimeline timeline { "r1" };

    bool contains(const std::string& part) const { return timeline.text().find(part) != std::string::npos; }
};

TEST(RequestTimeline, RefusalForAKeyThatCouldNotBeVerified)
{
    timeline.read(R"({"time_ms":1000,"level":"WARNING","event":"dependency_lost","dependency":"store.manifest","detail":"status 503"})", "a");
    // The loss on another node does not explain this refusal.
    timeline.read(R"({"time_ms":1000,"level":"WARNING","event":"dependency_lost","dependency":"store.manifest","detail":"elsewhere"})", "b");
    timeline.read(R"({"time_ms":3900,"event":"request_arrived","request":"r1","outcome":"ManifestStale","manifest_version":1,"manifest_age_ms":2884,"upstreams_age_ms":39})", "a");
    timeline.read(R"({"time_ms":3901,"event":"answered_itself","request":"r1","status":503,"code":"ManifestStale"})", "a");
    CHECK_TRUE(contains("cause: the node could not confirm the manifest and so could not verify the key: the manifest was last confirmed 2884 ms earlier; store.manifest was lost 2901 ms earlier (status 503)\n"));
    CHECK_FALSE(contains("elsewhere"));
}

TEST(RequestTimeline, StreamResumedLateAfterLosses)
{
    timeline.read(R"({"time_ms":5000,"event":"attempt_ended","request":"r1","outcome":"lost-in-answer","upstream":"u1","connection":"new","backup":"u2","last_event":4})", "a");
    timeline.read(R"({"time_ms":5010,"event":"attempt_ended","request":"r1","outcome":"copy-missing","upstream":"u2","connection":"kept","from_copy":1,"last_event":4})", "a");
    timeline.read(R"({"time_ms":5900,"event":"upstream_unlisted","upstream":"u1"})", "a");
    timeline.read(R"({"time_ms":5901,"event":"upstream_unlisted","upstream":"u9"})", "a");
    timeline.read(R"({"time_ms":7000,"event":"attempt_ended","request":"r1","outcome":"answered","upstream":"u3","connection":"new"})", "a");
    timeline.read(R"({"time_ms":7001,"event":"request_ended","request":"r1","outcome":"answered","took_ms":2684,"route":"stream","sends":3,"runs":2,"first_event_ms":154,"longest_gap_ms":1279})", "a");
    CHECK_TRUE(contains("cause: answered despite losses: u1 lost-in-answer (upstream_unlisted 900 ms later); u2 copy-missing\n"));
    CHECK_TRUE(contains("longest gap 1279 ms"));
    CHECK_FALSE(contains("u9"));
}

TEST(RequestTimeline, BookingWithUnknownOutcome)
{
    timeline.read(R"({"time_ms":9001,"event":"answered_itself","request":"r1","status":502,"code":"OutcomeUnknown"})", "a");
    timeline.read(R"({"time_ms":9000,"event":"draining","requests":1})", "b");
    timeline.read(R"({"time_ms":9000,"event":"attempt_ended","request":"r1","outcome":"lost-before-answer","upstream":"u1","connection":"kept"})", "a");
    CHECK_TRUE(contains("cause: u1 lost-before-answer; the request may have been executed, so it was not retried\n"));
    CHECK_FALSE(contains("draining"));
    CHECK_TRUE(timeline.text().find("attempt at u1") < timeline.text().find("the node answered 502"));
}

TEST(RequestTimeline, UnknownRequestAndMalformedLines)
{
    timeline.read("no json", "a");
    timeline.read(R"({"time_ms":"x","event":"request_ended","request":"r1"})", "a");
    CHECK_FALSE(timeline.isFound());
    CHECK_TRUE(contains("cause: no log line names request r1\n"));
    CHECK_PROPERTY("any line is parsed or ignored", [](const std::string& line) {
        report::RequestTimeline any("r1");
        any.read(line, "a");
        any.read("{\"time_ms\":1,\"event\":\"request_ended\",\"request\":\"r1\",\"outcome\":\"" + line, "a");
        RC_ASSERT(!any.text().empty());
    });
}
