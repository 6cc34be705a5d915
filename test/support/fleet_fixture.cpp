#include "fleet_fixture.h"

namespace ebonymount {

FleetFixture::FleetFixture(std::size_t shards, std::size_t replicas, std::int64_t slots)
    : m_shards(shards) {
    RouteTable table;
    Route route;
    TargetRegistry registry;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const std::string service = "s" + std::to_string(shard);
        route.shards.push_back(service);
        table.services.push_back({service, "/health", 25, from_ms(3000), 0.0});
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            TargetEntry entry;
            entry.id = service + "-" + std::to_string(replica);
            entry.service = service;
            entry.address = "10.0." + std::to_string(shard) + "." + std::to_string(replica) + ":80";
            entry.data_centre = "dc" + std::to_string(replica);
            entry.slots = slots;
            upsert(registry, entry);
        }
    }
    table.routes = {route};
    targets.own_data_centre = "dc0";
    const std::set<std::string> out_of_service;
    const std::map<std::string, std::string> regions;
    m_view = make_view({table, registry, out_of_service, regions}, m_indices, targets, Time{});
    budgets.resize(shards);
}

FanOutContext FleetFixture::context(Time now) {
    return {*m_view, targets, budgets, retry_budget, quarantine, now, random};
}

FanOutParameters FleetFixture::parameters(Time now) const {
    FanOutParameters result;
    result.fan_out = true;
    result.idempotent = true;
    result.max_attempts = 2;
    result.min_coverage = 0.75;
    result.started = now;
    result.objective_deadline = now + from_ms(150);
    result.final_deadline = now + from_ms(1200);
    return result;
}

std::vector<ServiceIndex> FleetFixture::all_shards() const {
    std::vector<ServiceIndex> services;
    for (std::size_t shard = 0; shard < m_shards; ++shard) {
        services.push_back(m_indices.at("s" + std::to_string(shard)));
    }
    return services;
}

TargetIndex FleetFixture::target(std::size_t shard, std::size_t replica) const {
    return targets.by_id.at("s" + std::to_string(shard) + "-" + std::to_string(replica));
}

TargetState& FleetFixture::state(std::size_t shard, std::size_t replica) {
    return targets.states[target(shard, replica)];
}

std::vector<StartAttempt> started(const std::vector<FanOutAction>& actions) {
    std::vector<StartAttempt> attempts;
    for (const FanOutAction& action : actions) {
        if (const StartAttempt* start = std::get_if<StartAttempt>(&action)) {
            attempts.push_back(*start);
        }
    }
    return attempts;
}

std::optional<EndRequest> ended(const std::vector<FanOutAction>& actions) {
    for (const FanOutAction& action : actions) {
        if (const EndRequest* end = std::get_if<EndRequest>(&action)) {
            return *end;
        }
    }
    return std::nullopt;
}

}  // namespace ebonymount
