#include "Benches.h"
#include "FigureReporter.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace {

using namespace redwingseam::bench;

struct Bench {
    std::string_view name;
    void (*run)(FigureReporter&);
};

constexpr std::array benches {
    Bench { "resume", benchResume },
    Bench { "suspicion", benchSuspicion },
    Bench { "claims", benchClaims },
    Bench { "poison", benchPoison },
    Bench { "tokens5k", benchTokens5k },
    Bench { "tokens100k", benchTokens100k },
    Bench { "flood", benchFlood },
    Bench { "clients", benchClients },
    Bench { "route", benchRoute },
    Bench { "settings9", benchSettings9 },
    Bench { "settings90", benchSettings90 },
    Bench { "settings330", benchSettings330 },
    Bench { "leaving", benchLeaving },
    Bench { "slopes", benchSlopes },
    Bench { "forward", benchForward },
    Bench { "endless", benchEndless },
};

} // namespace

// Runs the benchmarks named on the command line, or all. Exits with 1 if a figure exceeds its bound.
int main(int argc, char** argv)
{
    FigureReporter figures;
    for (const auto& bench : benches) {
        bool isWanted = argc == 1;
        for (int i = 1; i < argc; ++i)
            isWanted |= bench.name == argv[i];
        if (isWanted)
            bench.run(figures);
    }
    return figures.isWithinBounds() ? 0 : 1;
}
