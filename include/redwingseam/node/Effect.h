#pragma once

#include "redwingseam/node/CallService.h"
#include "redwingseam/node/CancelAttempt.h"
#include "redwingseam/node/Finish.h"
#include "redwingseam/node/Refuse.h"
#include "redwingseam/node/SendTokens.h"
#include "redwingseam/node/StartGeneration.h"
#include "redwingseam/peer/SendPeerMessage.h"
#include "redwingseam/store/StoreCall.h"
#include "redwingseam/store/WatchObjects.h"

#include <variant>
#include <vector>

namespace redwingseam::node {

// Action that a node requests from its front end.
using Effect = std::variant<StartGeneration, CallService, CancelAttempt, SendTokens, Finish, Refuse, store::StoreCall, store::WatchObjects, peer::SendPeerMessage>;
using EffectList = std::vector<Effect>;

} // namespace redwingseam::node
