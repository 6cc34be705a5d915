#include "policy/route_table.h"

#include <algorithm>
#include <cctype>

namespace ebonymount {
namespace {

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

}  // namespace

TableChange compare_tables(const RouteTable& in_force, std::int64_t era_in_force,
                           const RouteTable& offered, std::int64_t offered_era) {
    if (offered.version != in_force.version) {
        return offered.version > in_force.version ? TableChange::newer : TableChange::older;
    }
    const bool is_rewritten = offered_era > era_in_force && offered != in_force;
    return is_rewritten ? TableChange::rewritten : TableChange::same;
}

std::int64_t match_route(const RouteTable& table, std::string_view host, std::string_view target) {
    const std::string_view name = host.substr(0, host.find(':'));
    const std::string_view path = target.substr(0, target.find('?'));
    std::int64_t best_index = -1;
    std::size_t best_length = 0;
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        const Route& route = table.routes[i];
        const bool is_longer = best_index < 0 || route.path_prefix.size() > best_length;
        if (is_longer && path.substr(0, route.path_prefix.size()) == route.path_prefix &&
            equal_ignoring_case(name, route.host)) {
            best_index = static_cast<std::int64_t>(i);
            best_length = route.path_prefix.size();
        }
    }
    return best_index;
}

std::size_t choose_service(const Route& route, double point) {
    double total_weight = 0.0;
    for (const WeightedService& weighted : route.services) {
        total_weight += weighted.weight;
    }
    double cumulative_weight = 0.0;
    for (std::size_t i = 0; i < route.services.size(); ++i) {
        cumulative_weight += route.services[i].weight;
        if (point * total_weight < cumulative_weight) {
            return i;
        }
    }
    return route.services.empty() ? 0 : route.services.size() - 1;
}

}  // namespace ebonymount
