#include <CppUTest/TestHarness.h>
#include <CppUTest/TestRegistry.h>
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

// Returns the groups that CMakeLists.txt passes to ctest.
static std::set<std::string> listedGroups()
{
    std::ifstream file(REDWINGSEAM_SOURCE_DIR "/CMakeLists.txt");
    std::set<std::string> groups;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("foreach(GROUP "))
            continue;
        std::replace(line.begin(), line.end(), ')', ' ');
        std::istringstream words(line);
        std::string word;
        while (words >> word)
            groups.insert(word);
    }
    return groups;
}

TEST_GROUP(TestList) {};

// CI runs ctest, which passes over a group that is not listed.
TEST(TestList, EachGroupIsRunByCtest)
{
    auto groups = listedGroups();
    CHECK_FALSE(groups.empty());
    for (auto* test = TestRegistry::getCurrentRegistry()->getFirstTest(); test; test = test->getNext()) {
        auto group = std::string(test->getGroup().asCharString());
        CHECK_TRUE_TEXT(groups.count(group), group.c_str());
    }
}
