#include "base/ReadFile.h"
#include "redwingseam/base/ResultCode.h"
#include "redwingseam/settings/FieldSpec.h"
#include "settings/SettingsReference.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>

using namespace redwingseam;

namespace {

// Returns an empty text if the page cannot be read, so that the comparison with it fails.
std::string readDocsPage(const char* name)
{
    auto text = base::readFile(std::string(REDWINGSEAM_SOURCE_DIR) + "/docs/" + name);
    return text ? text.value() : std::string();
}

} // namespace

TEST_GROUP(ErrorTable) {};

TEST(ErrorTable, PageListsEveryCodeWithItsNumber)
{
    auto text = readDocsPage("ERRORS.md");
    std::set<unsigned> numbers;
    for (const auto& [code, name] : base::EnumNames<base::ResultCode>::entries) {
        auto number = static_cast<unsigned>(code);
        CHECK_TRUE(numbers.insert(number).second);
        auto row = "| " + std::to_string(number) + " | " + std::string(name) + " |";
        CHECK_TEXT(text.find(row) != std::string::npos, row.c_str());
    }
    size_t rows = 0;
    for (size_t position = text.find("\n| "); position != std::string::npos; position = text.find("\n| ", position + 1))
        rows += text[position + 3] >= '0' && text[position + 3] <= '9' ? 1 : 0;
    LONGS_EQUAL(numbers.size(), rows);
}

TEST(ErrorTable, SettingsPageMatchesTheFieldTable)
{
    CHECK_TRUE(readDocsPage("SETTINGS.md") == settings::formatSettingsReference());
}

TEST(ErrorTable, FieldTableIsInOrder)
{
    for (size_t index = 0; index < settings::fieldCount; ++index) {
        LONGS_EQUAL(index, settings::indexOf(settings::fieldSpecs[index].field));
        CHECK_TRUE(settings::fieldSpecs[index].minimum <= settings::fieldSpecs[index].defaultValue);
        CHECK_TRUE(settings::fieldSpecs[index].defaultValue <= settings::fieldSpecs[index].maximum);
    }
}
