// The named experiments. Each measures a running deployment and returns figures. Some compare it
// with a baseline, the same deployment with one mechanism disabled in the table; the two are
// measured alternately.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/running_deployment.h"

namespace ebonymount {

/// Figures by name, as on the last line of the output.
using Figures = std::map<std::string, double>;

/// Number of rounds of an experiment, and of requests in each measurement of a round.
struct ExperimentSize {
    int rounds = 3;
    std::int64_t requests = 400;
};

/// An experiment and the function that runs it.
struct Experiment {
    std::string name;
    std::string description;
    std::function<Figures(const RunningDeployment&, const ExperimentSize&)> run;
};

/// All experiments, in the order in which they run.
const std::vector<Experiment>& experiments();

}  // namespace ebonymount
