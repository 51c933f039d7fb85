#pragma once

#include <string>

namespace redwingseam::settings {

// Returns the content of docs/SETTINGS.md, generated from the table that also validates the settings.
std::string formatSettingsReference();

} // namespace redwingseam::settings
