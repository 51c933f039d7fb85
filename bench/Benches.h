#pragma once

namespace redwingseam::bench {

class FigureReporter;

// Each function runs one benchmark and reports its figures.
void benchResume(FigureReporter&);
void benchSuspicion(FigureReporter&);
void benchClaims(FigureReporter&);
void benchPoison(FigureReporter&);
void benchTokens5k(FigureReporter&);
void benchTokens100k(FigureReporter&);
void benchFlood(FigureReporter&);
void benchClients(FigureReporter&);
void benchRoute(FigureReporter&);
void benchSettings9(FigureReporter&);
void benchSettings90(FigureReporter&);
void benchSettings330(FigureReporter&);
void benchLeaving(FigureReporter&);
void benchSlopes(FigureReporter&);
void benchForward(FigureReporter&);
void benchEndless(FigureReporter&);

} // namespace redwingseam::bench
