// Runs open-loop load and experiments against a running deployment.
//
//   ebonymount_load run --directory D --service S [--submit] [--rate R] [--count N]
//   ebonymount_load wait --directory D              waits until all nodes are ready
//   ebonymount_load totals --directory D            counters of the targets
//   ebonymount_load experiments --directory D [--only NAME] [--rounds N] [--requests N]
//
// Exit codes: 0 done; 1 if a request failed (run), the nodes did not become ready in time (wait),
// or targets had overloads while cold or duplicate runs (totals); 2 bad arguments.
#include <cxxopts.hpp>
#include <iostream>

#include "load/experiments.h"

namespace {

using ebonymount::RunningDeployment;

constexpr int EXIT_CONDITION_FAILED = 1;
constexpr int EXIT_BAD_INPUT = 2;

int run_load(const RunningDeployment& deployment, const cxxopts::ParseResult& arguments) {
    ebonymount::LoadOptions options;
    options.callers = deployment.callers;
    options.service = arguments["service"].as<std::string>();
    options.submit = arguments.count("submit") > 0;
    options.key_prefix = arguments["keys"].as<std::string>();
    options.rate_per_s = arguments["rate"].as<double>();
    options.count = arguments["count"].as<std::int64_t>();
    const ebonymount::LoadSummary summary =
        ebonymount::summarize(ebonymount::run_open_loop(options));
    std::cout << ebonymount::describe(summary) << "\n";
    return summary.failed == 0 ? 0 : EXIT_CONDITION_FAILED;
}

int print_totals(const RunningDeployment& deployment) {
    const ebonymount::TargetTotals totals = ebonymount::target_totals(deployment, "");
    std::cout << "targets answered " << totals.answered << ", overloads while cold "
              << totals.cold_overloads << ", duplicate runs " << totals.duplicate_runs << "\n";
    return totals.cold_overloads == 0 && totals.duplicate_runs == 0 ? 0 : EXIT_CONDITION_FAILED;
}

int run_experiments(const RunningDeployment& deployment, const cxxopts::ParseResult& arguments) {
    const std::string only = arguments["only"].as<std::string>();
    ebonymount::ExperimentSize size;
    size.rounds = arguments["rounds"].as<int>();
    size.requests = arguments["requests"].as<std::int64_t>();
    ebonymount::Json all = ebonymount::Json::object();
    for (const ebonymount::Experiment& experiment : ebonymount::experiments()) {
        if (!only.empty() && experiment.name != only) {
            continue;
        }
        std::cout << experiment.name << ": " << experiment.description << std::endl;
        for (const auto& [name, value] : experiment.run(deployment, size)) {
            std::cout << "  " << name << " " << value << std::endl;
            all[name] = value;
        }
    }
    std::cout << all.dump() << "\n";
    return 0;
}

int run_command(const std::string& command, const cxxopts::ParseResult& arguments) {
    const ebonymount::Result<RunningDeployment> deployment =
        ebonymount::deployment_from_directory(arguments["directory"].as<std::string>());
    if (!ebonymount::has_value(deployment)) {
        std::cerr << "ebonymount_load: " << ebonymount::describe(ebonymount::error_of(deployment))
                  << "\n";
        return EXIT_BAD_INPUT;
    }
    if (command == "run") {
        return run_load(ebonymount::value_of(deployment), arguments);
    }
    if (command == "wait") {
        return ebonymount::wait_until_ready(ebonymount::value_of(deployment))
                   ? 0
                   : EXIT_CONDITION_FAILED;
    }
    if (command == "totals") {
        return print_totals(ebonymount::value_of(deployment));
    }
    if (command == "experiments") {
        return run_experiments(ebonymount::value_of(deployment), arguments);
    }
    std::cerr << "ebonymount_load: unknown command \"" << command << "\"\n";
    return EXIT_BAD_INPUT;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymount_load",
                             "Runs load and experiments against a running deployment");
    options.add_options()("command", "run, wait, totals or experiments",
                          cxxopts::value<std::string>()->default_value(""))(
        "directory", "directory with the deployment's files",
        cxxopts::value<std::string>()->default_value(""))(
        "service", "service to call", cxxopts::value<std::string>()->default_value("catalogue"))(
        "submit", "send non-idempotent requests")(
        "keys", "prefix of the idempotency keys of --submit",
        cxxopts::value<std::string>()->default_value("load"))(
        "rate", "requests per second", cxxopts::value<double>()->default_value("50"))(
        "count", "number of requests", cxxopts::value<std::int64_t>()->default_value("200"))(
        "only", "run only this experiment", cxxopts::value<std::string>()->default_value(""))(
        "rounds", "rounds of each experiment", cxxopts::value<int>()->default_value("3"))(
        "requests", "requests in each measurement of an experiment",
        cxxopts::value<std::int64_t>()->default_value("400"))("help", "show this help");
    options.parse_positional({"command"});
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run_command(arguments["command"].as<std::string>(), arguments);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymount_load: " << error.what() << "\n";
        return EXIT_BAD_INPUT;
    }
}
