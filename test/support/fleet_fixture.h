// Shards with replicas for tests of the direct request path, without a network.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "policy/fan_out.h"

namespace ebonymount {

/// Shards "s0", "s1", ... with replicas "s0-0", "s0-1", ..., one in each data centre "dc0", ....
class FleetFixture {
public:
    FleetFixture(std::size_t shards, std::size_t replicas, std::int64_t slots = 2);

    FanOutContext context(Time now);

    /// Parameters of a fan-out that starts at `now`, with an objective of 150 ms and a final
    /// deadline of 1,200 ms.
    FanOutParameters parameters(Time now) const;

    std::vector<ServiceIndex> all_shards() const;
    TargetIndex target(std::size_t shard, std::size_t replica) const;
    TargetState& state(std::size_t shard, std::size_t replica);

    TargetTable targets;
    std::vector<RetryBudget> budgets;
    RetryBudgetLimits retry_budget{190, 4, 0};
    CrashQuarantine quarantine;
    Random random{1};

private:
    std::shared_ptr<const FleetView> m_view;
    ServiceIndices m_indices;
    std::size_t m_shards;
};

/// The attempts that a list of actions starts.
std::vector<StartAttempt> started(const std::vector<FanOutAction>& actions);

/// The end of the request in a list of actions, if there is one.
std::optional<EndRequest> ended(const std::vector<FanOutAction>& actions);

}  // namespace ebonymount
