#pragma once

namespace redwingseam::cli {

// Exit codes of the command line; docs/COMMANDS.md lists them.
enum class ExitCode : int {
    Success = 0,
    // The command ran but found a problem: an invalid branch, a difference, an unreachable VM.
    ProblemsFound = 1,
    UsageError = 2,
    // Another operator changed the branch in the store first.
    Conflict = 3,
    // The platform's store could not be reached, or the outcome of a write is unknown.
    Unreachable = 4,
};

} // namespace redwingseam::cli
