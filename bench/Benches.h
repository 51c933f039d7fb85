#pragma once

namespace redwingseam::bench {

class FigureList;

// Each measures one subject in virtual time and adds its figures.
void benchResume(FigureList&);
void benchSuspicion(FigureList&);
void benchClaims(FigureList&);
void benchPoison(FigureList&);
void benchTokens(FigureList&);
void benchFlood(FigureList&);
void benchClients(FigureList&);
void benchRoute(FigureList&);
void benchSettings(FigureList&);
void benchLeaving(FigureList&);
void benchSlopes(FigureList&);

} // namespace redwingseam::bench
