#pragma once

#include "CommandLine.h"
#include "ExitCode.h"

namespace redwingseam::cli {

// One function per verb. Each prints its result, as JSON with --json, and says how it went.
ExitCode check(const CommandLine&);
ExitCode explain(const CommandLine&);
ExitCode diff(const CommandLine&);
ExitCode pull(const CommandLine&);
ExitCode apply(const CommandLine&);
ExitCode status(const CommandLine&);
ExitCode report(const CommandLine&);
ExitCode mintKey(const CommandLine&);
ExitCode reference(const CommandLine&);
ExitCode logs(const CommandLine&);

} // namespace redwingseam::cli
