// The named experiments: each runs product and baseline interleaved on one deployment and gives
// figures. Baselines are the product with a mechanism switched off in the table.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/running_deployment.h"

namespace ebonymount {

/// Figures by name, as they appear on the last line of the report.
using Figures = std::map<std::string, double>;

/// Sizes of a run.
struct ExperimentSize {
    int rounds = 3;
    std::int64_t requests = 400;
};

struct Experiment {
    std::string name;
    std::string question;
    std::function<Figures(const RunningDeployment&, const ExperimentSize&)> run;
};

const std::vector<Experiment>& experiments();

}  // namespace ebonymount
