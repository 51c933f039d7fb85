#pragma once

#include "node/NodeCore.h"
#include "node/NodeCoreClaims.h"
#include "node/NodeCoreDispatch.h"
#include "node/NodeCoreGossip.h"
#include "node/NodeCoreLifecycle.h"
#include "node/NodeCorePeers.h"
#include "node/NodeCoreRequests.h"
#include "node/NodeCoreSettings.h"
#include "node/NodeCoreStreams.h"
#include "node/NodeCoreSuspects.h"
#include "node/NodeCoreTimers.h"
