// The named experiments. Each runs the product and its baseline interleaved on one deployment and
// returns figures. A baseline is the product with one mechanism disabled in the table.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/running_deployment.h"

namespace ebonymount {

/// Figures by name, as they appear on the last line of the report.
using Figures = std::map<std::string, double>;

/// Rounds of an experiment, and requests of each measurement within a round.
struct ExperimentSize {
    int rounds = 3;
    std::int64_t requests = 400;
};

struct Experiment {
    std::string name;
    std::string description;
    std::function<Figures(const RunningDeployment&, const ExperimentSize&)> run;
};

const std::vector<Experiment>& experiments();

}  // namespace ebonymount
