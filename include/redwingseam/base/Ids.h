#pragma once

#include "redwingseam/base/Name.h"
#include "redwingseam/base/Number.h"

namespace redwingseam::base {

struct VmTag;
struct DataCentreTag;
struct RegionTag;
struct ClientTag;
struct UpstreamTag;
struct PoolTag;
struct WorkTag;
struct ObjectTag;
struct KeyTag;
struct ServiceTag;
struct RouteTag;
struct ModelTag;
struct ApiKeyTag;
struct ClientAttemptTag;
struct PromptPartTag;
struct RequestTag;
struct AttemptTag;
struct CallTag;
struct VersionTag;
struct FingerprintTag;

using VmName = Name<VmTag>;
using DataCentreName = Name<DataCentreTag>;
using RegionName = Name<RegionTag>;
using ClientName = Name<ClientTag>;
using UpstreamName = Name<UpstreamTag>;
// A model with its version, or a plain service: all upstreams of a pool can serve the same work.
using PoolName = Name<PoolTag>;
// Kind of work, a path below `/work` in the settings tree such as `booking/press-slot`.
using WorkName = Name<WorkTag>;
// Key of an object in the platform's store.
using ObjectKey = Name<ObjectTag>;
// Idempotency key, already bound to its client.
using IdempotencyKey = Name<KeyTag>;

// Service that the manifest names; its upstreams are interchangeable.
using ServiceName = Name<ServiceTag>;
using RouteName = Name<RouteTag>;
using ModelName = Name<ModelTag>;
// Secret by which a client account proves itself.
using ApiKey = Name<ApiKeyTag>;
// Id that a client gave one attempt at its request; upstreams echo it.
using ClientAttemptId = Name<ClientAttemptTag>;
// Part of a prompt that requests may share.
using PromptPartId = Name<PromptPartTag>;

using RequestId = Number<RequestTag>;
using AttemptNumber = Number<AttemptTag>;
using CallId = Number<CallTag>;
// Version that the platform's store gives an object; 0 stands for "absent".
using ObjectVersion = Number<VersionTag>;
// Hash of what makes two requests the same work.
using Fingerprint = Number<FingerprintTag>;

} // namespace redwingseam::base
