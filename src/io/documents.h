// JSON forms of the documents that live in the platform or travel between nodes.
//
// Reading is strict: unknown keys, wrong types and values out of bounds give an error that names
// the place. The same forms are used as text towards people and the platform, and as MessagePack
// between nodes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "policy/group_lease.h"
#include "policy/idempotency.h"
#include "policy/placement.h"
#include "policy/table.h"

namespace ebonymount {

using Json = nlohmann::json;

/// Parses JSON text; comments are allowed. `source` names the text in errors.
Result<Json> parse_json(std::string_view text, const std::string& source);

Json to_document(const Configuration& configuration);
Result<Configuration> configuration_from(const Json& document);

Json to_document(const Placement& placement);
Result<Placement> placement_from(const Json& document);

Json to_document(const GroupLeaseRecord& record);
Result<GroupLeaseRecord> group_lease_from(const Json& document);

Json to_document(const IdempotencyBucket& bucket);
Result<IdempotencyBucket> idempotency_bucket_from(const Json& document);

Json to_document(const std::vector<Change>& changes);

}  // namespace ebonymount
