#include "base/NamedThread.h"
#include "store/StoreResponseParser.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

// Input for which a library throws or recurses. Nothing catches an exception at the top of a thread, so it ends the process.
TEST_GROUP(LibraryLimits) {};

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
