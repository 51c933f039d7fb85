#pragma once

namespace redwingseam::cli {

// Exit codes of the command line; docs/COMMANDS.md lists them.
enum class ExitCode : int {
    Success = 0,
    // The thing asked about is not in order: a bad branch, a difference, a VM that can't be reached.
    ProblemsFound = 1,
    UsageError = 2,
    // Another operator changed the branch first.
    Conflict = 3,
    Unreachable = 4,
};

} // namespace redwingseam::cli
