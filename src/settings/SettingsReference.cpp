#include "settings/SettingsReference.h"

#include "redwingseam/base/Rank.h"
#include "redwingseam/settings/FieldSpec.h"

namespace redwingseam::settings {

static constexpr const char* introduction = R"(# Settings of the tree

Made by `redwingseam reference`; a test holds this page against the program.

A branch is a JSON object with any of these fields. Its path is its place in the tree. A request is
judged by `/clients/NAME`, then `/work/KIND`, then `/regions/NAME`, each with its parents, then `/`;
the first branch that sets a field decides. `redwingseam explain PATH` shows where each value comes from.

| field | form | range | unless set | what it does |
|---|---|---|---|---|
)";

static std::string describe(const FieldSpec& spec, int64_t value)
{
    if (spec.kind == FieldKind::Boolean)
        return value ? "true" : "false";
    if (spec.kind == FieldKind::RankName)
        return std::string(base::nameOf(static_cast<base::Rank>(value)));
    return std::to_string(value);
}

std::string formatSettingsReference()
{
    std::string page = introduction;
    for (const auto& spec : fieldSpecs) {
        auto unit = spec.unit.empty() ? std::string() : " " + std::string(spec.unit);
        auto range = spec.kind == FieldKind::Integer ? describe(spec, spec.minimum) + " to " + describe(spec, spec.maximum) + unit : std::string();
        page += "| `" + std::string(base::nameOf(spec.field)) + "` | " + std::string(base::nameOf(spec.kind)) + " | " + range + " | " + describe(spec, spec.defaultValue) + (spec.kind == FieldKind::Integer ? unit : "") + " | " + std::string(spec.description) + " |\n";
    }
    return page;
}

} // namespace redwingseam::settings
