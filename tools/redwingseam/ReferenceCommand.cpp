#include "Commands.h"
#include "redwingseam/settings/FieldSpec.h"
#include "settings/SettingsReference.h"

#include <iostream>

namespace redwingseam::cli {

ExitCode reference(const CommandLine&)
{
    std::cout << settings::formatSettingsReference();
    return ExitCode::Success;
}

} // namespace redwingseam::cli
