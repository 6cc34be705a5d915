// A running deployment as experiments see it: they drive it through the administration API and the
// controls of the stand-ins.
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

/// Reads the addresses from the files of a deployment.
Result<RunningDeployment> deployment_from_directory(const std::string& directory);

/// Waits until every node is ready and every seat is held; false when that takes too long.
bool wait_until_ready(const RunningDeployment& deployment);

/// Sets cells of a service through draft and accept, and waits until all nodes have the generation.
void set_cells(const RunningDeployment& deployment, const std::string& service,
               const std::map<std::string, std::int64_t>& cells);

/// Applies an action to all targets whose id contains `match`. `query` has the action's arguments.
void control_targets(const RunningDeployment& deployment, const std::string& match,
                     const std::string& query);

/// Sets a fault of the platform.
void set_platform_fault(const RunningDeployment& deployment, const std::string& query);

/// Takes a data centre out or brings it back.
void set_data_centre(const RunningDeployment& deployment, const std::string& name, bool out);

/// Sums over all targets whose id contains `match`.
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
TargetTotals target_totals(const RunningDeployment& deployment, const std::string& match);

/// Planned and extra sub-queries of a service, over all nodes.
struct ExtraTotals {
    std::int64_t planned = 0;
    std::int64_t extra = 0;
};
ExtraTotals extra_totals(const RunningDeployment& deployment, const std::string& service);

/// The latest traces of a node.
Json traces_of(const RunningDeployment& deployment, std::size_t node);

}  // namespace ebonymount
