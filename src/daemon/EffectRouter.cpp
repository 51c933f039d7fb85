#include "daemon/EffectRouter.h"

#include "daemon/EffectVisitor.h"

namespace redwingseam::daemon {

void EffectRouter::emit(node::Effect effect)
{
    std::visit(EffectVisitor { *m_io }, effect);
}

} // namespace redwingseam::daemon
