#include "platform/StoreApi.h"
#include "fakes/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::ScriptedResponse;
using fakes::ScriptedUpstream;

TEST_GROUP(StoreApi) {
    static ScriptedResponse response(const std::string& body, const std::string& headers) {
        return { "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}
static ScriptedResponse page(const std::string& headers, bool hasMore = false)
{
    return response(std::string(R"({"items":[{"metadata":{"name":"i-1"}}],"at":7,"hasMore":)") + (hasMore ? "true}" : "false}"), headers);
}
static platform::StoreApi client(const ScriptedUpstream& server)
{
    return { http::parseSocketAddress(server.address()).value(), std::chrono::seconds(5) };
}
}
;

TEST(StoreApi, ResponsesAreDatedByTheirEra)
{
    ScriptedUpstream server({ page("store-era: 3\r\n"), response(R"({"events":[],"at":9})", "Store-Era: 4\r\n"), page("Store-Era: 5\r\n") });
    auto store = client(server);
    CHECK_TRUE(store.listUpstreams().value().list.version == (sync::StoreVersion { 3, 7 }));
    CHECK_TRUE(store.watchUpstreams(7, {}).value().version == (sync::StoreVersion { 4, 9 }));
    LONGS_EQUAL(5, store.listNodes(sync::Freshness::Recent).value().era);
}

// Guards against a list whose pages are of two states of the store.
TEST(StoreApi, ListWhosePagesAreOfTwoErasIsNotUsed)
{
    ScriptedUpstream server({ page("Store-Era: 3\r\n", true), page("Store-Era: 4\r\n"), page("Store-Era: 4\r\n") });
    auto store = client(server);
    CHECK_FALSE(store.listUpstreams().has_value());
    CHECK_TRUE(store.listUpstreams().has_value());
}

TEST(StoreApi, StoreThatNeverStatesAnEraIsUsed)
{
    ScriptedUpstream server({ page(""), page("") });
    auto store = client(server);
    CHECK_TRUE(store.listUpstreams().value().list.version == (sync::StoreVersion { 0, 7 }));
    CHECK_TRUE(store.listUpstreams().has_value());
}

// Guards against a damaged response that is taken for one of another era.
TEST(StoreApi, ResponseWithoutAReadableEraIsNotUsed)
{
    for (const char* headers : { "", "Store-Era:\r\n", "Store-Era: x\r\n", "Store-Era: -1\r\n", "Store-Era: 3 4\r\n", "Store-Era: 99999999999999999999\r\n" }) {
        ScriptedUpstream server({ page("Store-Era: 3\r\n"), page(headers), page("Store-Era: 3\r\n") });
        auto store = client(server);
        CHECK_TRUE(store.listUpstreams().has_value());
        auto damaged = store.listUpstreams();
        CHECK_TRUE_TEXT(!damaged && damaged.error().code == base::ResultCode::MessageMalformed, headers);
        CHECK_TRUE(store.listUpstreams().has_value());
    }
}

// Guards against the entry of a new machine that goes with that of the machine whose name it took over.
TEST(StoreApi, EntryOfANodeIsDeletedOnlyInTheRevisionThatWasRead)
{
    sync::NodeRecord node { { "vm 1" }, { "dc-a" }, "10.0.0.1:1" };
    auto entry = response(R"({"metadata":{"name":"vm 1","revision":17},"spec":{"zone":"dc-a","address":"10.0.0.1:1"}})", "");
    ScriptedResponse notFound { "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}" };
    ScriptedResponse conflict { "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}" };
    ScriptedUpstream server({ entry, response("{}", ""), entry, conflict, entry, notFound, notFound, entry });
    auto store = client(server);
    CHECK_TRUE(store.removeNode(node).code == base::ResultCode::Ok);
    CHECK_TRUE(server.requests()[0].starts_with("GET /api/objects/redwingseam-nodes/vm%201 "));
    CHECK_TRUE(server.requests()[1].starts_with("DELETE /api/objects/redwingseam-nodes/vm%201?revision=17 "));
    CHECK_TRUE(store.removeNode(node).code == base::ResultCode::PlatformConflict);
    CHECK_TRUE(store.removeNode(node).code == base::ResultCode::Ok);
    CHECK_TRUE(store.removeNode(node).code == base::ResultCode::Ok);
    auto moved = node;
    moved.peerAddress = "10.0.0.2:1";
    CHECK_TRUE(store.removeNode(moved).code == base::ResultCode::PlatformConflict);
    LONGS_EQUAL(8, server.requests().size());
}
