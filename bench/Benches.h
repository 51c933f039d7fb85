#pragma once

namespace redwingseam::bench {

class FigureList;

// Each measures one subject in virtual time and adds its figures.
void benchResume(FigureList&);
void benchSuspicion(FigureList&);
void benchClaims(FigureList&);
void benchPoison(FigureList&);
void benchTokens5k(FigureList&);
void benchTokens100k(FigureList&);
void benchFlood(FigureList&);
void benchClients(FigureList&);
void benchRoute(FigureList&);
void benchSettings9(FigureList&);
void benchSettings90(FigureList&);
void benchSettings330(FigureList&);
void benchLeaving(FigureList&);
void benchSlopes(FigureList&);
void benchForward(FigureList&);

} // namespace redwingseam::bench
