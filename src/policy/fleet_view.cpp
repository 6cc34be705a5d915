#include "policy/fleet_view.h"

namespace ebonymount {
namespace {

ServiceIndex service_index(FleetView& view, ServiceIndices& indices, const std::string& name) {
    const ServiceIndex next = static_cast<ServiceIndex>(indices.size());
    const ServiceIndex index = indices.emplace(name, next).first->second;
    if (view.services.size() <= index) {
        view.services.resize(index + 1);
    }
    view.services[index].limits.name = name;
    return index;
}

void resolve_routes(FleetView& view, ServiceIndices& indices) {
    for (const Route& route : view.table.routes) {
        RouteView resolved;
        for (const std::string& shard : route.shards) {
            resolved.services.push_back(service_index(view, indices, shard));
        }
        for (const WeightedService& part : route.services) {
            resolved.services.push_back(service_index(view, indices, part.service));
        }
        view.routes.push_back(std::move(resolved));
    }
}

void place_targets(FleetView& view, const ServiceIndices& indices, const FleetInputs& inputs,
                   TargetTable& targets, Time now) {
    for (TargetState& state : targets.states) {
        state.accepts_work = false;
    }
    for (const auto& [id, entry] : inputs.registry.entries) {
        const TargetIndex index = index_of(targets, id);
        update_entry(targets, index, entry, now);
        TargetState& state = targets.states[index];
        const auto region = view.regions.find(entry.data_centre);
        state.region = region == view.regions.end() ? std::string() : region->second;
        state.same_region = !state.region.empty() && state.region == targets.own_region;
        state.accepts_work = !entry.draining && inputs.out_of_service.count(entry.data_centre) == 0;
        const auto service = indices.find(entry.service);
        if (service != indices.end()) {
            ServiceView& service_view = view.services[service->second];
            service_view.targets.push_back(index);
            state.max_connections = service_view.limits.max_connections;
        }
    }
}

}  // namespace

std::shared_ptr<const FleetView> make_view(const FleetInputs& inputs, ServiceIndices& indices,
                                           TargetTable& targets, Time now) {
    const std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->table = inputs.table;
    view->regions = inputs.regions;
    view->services.resize(indices.size());
    for (const ServiceLimits& limits : inputs.table.services) {
        view->services[service_index(*view, indices, limits.name)].limits = limits;
    }
    resolve_routes(*view, indices);
    place_targets(*view, indices, inputs, targets, now);
    return view;
}

}  // namespace ebonymount
