// Controls and observes a running deployment, through the administration API of the nodes and the
// control addresses of the stand-ins. A request that fails throws `InternalFault`, except in
// `wait_until_ready`.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "io/documents.h"
#include "load/open_loop.h"

namespace ebonymount {

/// Addresses of a running deployment.
struct RunningDeployment {
    std::vector<std::string> callers;
    std::vector<std::string> admins;
    std::vector<std::string> target_controls;
    std::string platform;
};

/// Reads the addresses from the files that `deployment_files` wrote into the directory.
Result<RunningDeployment> deployment_from_directory(const std::string& directory);

/// Waits until every node is ready and the lease of every target group is held. Returns false if
/// that takes longer than 30 s.
bool wait_until_ready(const RunningDeployment& deployment);

/// Sets cells of a service: stores a draft, accepts it and waits until all nodes use the new
/// generation.
void set_cells(const RunningDeployment& deployment, const std::string& service,
               const std::map<std::string, std::int64_t>& cells);

/// Applies an action to all targets whose id contains `match`. `query` holds the action and its
/// arguments.
void control_targets(const RunningDeployment& deployment, const std::string& match,
                     const std::string& query);

/// Sets faults of the platform's stand-in. `query` holds their names and values.
void set_platform_fault(const RunningDeployment& deployment, const std::string& query);

/// Takes a data centre out of service or returns it to service.
void set_data_centre_out_of_service(const RunningDeployment& deployment, const std::string& name,
                                    bool out);

/// Counters summed over targets; `last_start_ms` is the latest start of any of them.
struct TargetTotals {
    std::int64_t started = 0;
    std::int64_t answered = 0;
    std::int64_t overloads = 0;
    std::int64_t cold_overloads = 0;
    std::int64_t blind_overloads = 0;
    std::int64_t duplicate_runs = 0;
    std::int64_t crashes = 0;
    std::int64_t last_start_ms = 0;
};

/// Counters of all targets whose id contains `match`.
TargetTotals target_totals(const RunningDeployment& deployment, const std::string& match);

/// Planned and extra sub-queries (hedges and retries) of a service, summed over all nodes.
struct ExtraSubQueryTotals {
    std::int64_t planned = 0;
    std::int64_t extra = 0;
};
ExtraSubQueryTotals extra_sub_query_totals(const RunningDeployment& deployment,
                                           const std::string& service);

/// The latest traces of a node.
Json traces_of(const RunningDeployment& deployment, std::size_t node);

}  // namespace ebonymount
