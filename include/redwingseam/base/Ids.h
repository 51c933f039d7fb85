#pragma once

#include "redwingseam/base/TaggedNumber.h"
#include "redwingseam/base/TaggedString.h"

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
struct PromptPartHashTag;
struct SoftwareVersionTag;
struct ClientHashTag;

using VmName = TaggedString<VmTag>;
using DataCentreName = TaggedString<DataCentreTag>;
using RegionName = TaggedString<RegionTag>;
using ClientName = TaggedString<ClientTag>;
using UpstreamName = TaggedString<UpstreamTag>;
// Model with its version, or a plain service. All upstreams of a pool can serve the same requests.
using PoolName = TaggedString<PoolTag>;
// Kind of work: a path below `/work` in the settings tree, such as `booking/press-slot`.
using WorkName = TaggedString<WorkTag>;
// Key of an object in the platform's store.
using ObjectKey = TaggedString<ObjectTag>;
// Idempotency key, scoped to its client.
using IdempotencyKey = TaggedString<KeyTag>;

// Service listed in the manifest; its upstreams are interchangeable.
using ServiceName = TaggedString<ServiceTag>;
// Version of the software of an upstream. What two versions write doesn't fit together.
using SoftwareVersion = TaggedString<SoftwareVersionTag>;
using RouteName = TaggedString<RouteTag>;
using ModelName = TaggedString<ModelTag>;
// Secret that authenticates a client account.
using ApiKey = TaggedString<ApiKeyTag>;
// Id that a client assigns to one attempt at its request; upstreams echo it.
using ClientAttemptId = TaggedString<ClientAttemptTag>;
// Part of a prompt that several requests may share.
using PromptPartId = TaggedString<PromptPartTag>;

using RequestId = TaggedNumber<RequestTag>;
using AttemptNumber = TaggedNumber<AttemptTag>;
using CallId = TaggedNumber<CallTag>;
// Version that the platform's store assigns to an object; 0 means that the object is absent.
using ObjectVersion = TaggedNumber<VersionTag>;
// Hash of the properties by which two requests count as the same work.
using Fingerprint = TaggedNumber<FingerprintTag>;
// Hash of the id of a prompt part, the same on every node.
using PromptPartHash = TaggedNumber<PromptPartHashTag>;
// Hash of the name of a client's account, the same on every node; 0 if there is none or it is not known.
using ClientHash = TaggedNumber<ClientHashTag>;

} // namespace redwingseam::base
