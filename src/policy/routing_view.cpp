#include "policy/routing_view.h"

#include <algorithm>

namespace ebonymount {
namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool is_host_out(const RoutingView& view, const std::string& host) {
    return contains(view.configuration.out_of_service_hosts, host) ||
           view.pending_out_of_service_hosts.count(host) > 0;
}

}  // namespace

bool is_data_centre_out_of_service(const RoutingView& view, const std::string& data_centre) {
    return contains(view.configuration.out_of_service_data_centres, data_centre) ||
           view.pending_out_of_service_data_centres.count(data_centre) > 0;
}

bool accepts_new_work(const RoutingView& view, const Target& target) {
    return !target.leaving && !is_data_centre_out_of_service(view, target.data_centre) &&
           !is_host_out(view, target.host) && view.leaving_hosts.count(target.host) == 0;
}

std::string owning_group(const RoutingView& view, const Target& target) {
    return group_of(target.id, target.data_centre, view.configuration.groups_per_data_centre);
}

}  // namespace ebonymount
