#include "base/NamedThread.h"
#include "daemon/StatusCodec.h"
#include "platform/NodeCodec.h"
#include "store/StoreResponseParser.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

// Input for which a library throws or recurses. Nothing catches an exception at the top of a thread, so it ends the process.
TEST_GROUP(LibraryLimits) {};

// Names in messages of other nodes may be any bytes.
TEST(LibraryLimits, NameThatIsNotUtf8IsReplacedInTheStatus)
{
    node::NodeStatus status;
    status.vm.text = "vm\xff";
    status.dataCentresSeen.push_back({ "dc\xc3\x28" });
    auto text = daemon::formatStatus(status);
    CHECK_TRUE(text.find("other_data_centres") != std::string::npos);
}

TEST(LibraryLimits, NodeNameThatIsNotUtf8IsReplacedInTheRegistration)
{
    auto text = platform::formatNode({ { "node\xff" }, { "dc" }, "127.0.0.1:1" });
    CHECK_TRUE(text.find("metadata") != std::string::npos);
}

// The parser used to serialize the value of an object once more, which recurses once for each level.
TEST(LibraryLimits, DeeplyNestedStoreObjectDoesNotUseUpTheStack)
{
    static constexpr size_t depth = 100'000;
    auto nested = R"({"type":"lease","deep":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    base::NamedThread thread("small", [&] {
        store::parseStoredObject(R"({"version":1,"value":)" + nested + "}");
        store::parseStoreChanges(R"({"revision":1,"objects":[{"key":"k","version":1,"value":)" + nested + "}]}");
    });
    thread.join();
}
