#pragma once

#include "CommandLine.h"
#include "ExitCode.h"

namespace redwingseam::cli {

// Each function implements one subcommand. It prints its result, as JSON with --json, and returns the
// exit code of the process.
ExitCode check(const CommandLine&);
ExitCode checkManifest(const CommandLine&);
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
