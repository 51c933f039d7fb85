#pragma once

#include <string>

namespace redwingseam::settings {

// docs/SETTINGS.md, made from the table that checks the settings.
std::string formatSettingsReference();

} // namespace redwingseam::settings
