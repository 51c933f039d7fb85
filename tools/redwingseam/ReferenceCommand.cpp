#include "Commands.h"
#include "redwingseam/settings/FieldSpec.h"
#include "settings/Reference.h"

#include <iostream>

namespace redwingseam::cli {

ExitCode reference(const CommandLine&)
{
    std::cout << settings::formatReference();
    return ExitCode::Success;
}

} // namespace redwingseam::cli
