// Randomized soak test: runs real nodes as separate processes, injects faults from outside them,
// and checks the promises from what callers, targets and operators observe.
//
// Prints a line for each seed. For a seed that broke a promise, also prints the violations, the
// timeline and the command that runs the seed again. Exit codes: 0 if every promise held, 1 if one
// was broken, 2 for invalid arguments or an environment that cannot be set up.
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "io/exception_guard.h"
#include "soak_environment.h"

namespace {

constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_CANNOT_RUN = 2;

/// First seed if `--seed` is not given.
constexpr const char* FIRST_SEED = "1";

/// Throws std::invalid_argument for a name that is no kind.
std::vector<soak::StepKind> kinds_of(const std::vector<std::string>& names) {
    std::vector<soak::StepKind> kinds;
    for (const std::string& name : names) {
        const std::optional<soak::StepKind> kind = soak::find_kind(name);
        if (!kind.has_value()) {
            throw std::invalid_argument("no kind of step: " + name);
        }
        kinds.push_back(*kind);
    }
    return kinds;
}

void print_report(const soak::SoakOptions& soak_options, const std::vector<soak::SoakStep>& plan,
                  const soak::SoakChecker& checker) {
    const soak::SoakTotals& totals = checker.totals();
    std::cout << "seed " << soak_options.seed << ": "
              << (checker.violations().empty() ? "held" : "BROKEN") << ", " << plan.size()
              << " steps, " << totals.requests << " requests, " << totals.served << " served ("
              << totals.complete << " complete), " << totals.rejected << " rejected, "
              << totals.failed << " failed, " << totals.cut_off << " cut off, "
              << totals.extra_arrivals << " extra arrivals\n";
    if (checker.violations().empty()) {
        return;
    }
    for (const std::string& violation : checker.violations()) {
        std::cout << "  " << violation << "\n";
    }
    std::cout << "  timeline (starts after a warm-up of 3 s):\n" << soak::describe(plan);
    std::cout << "  node logs: " << soak_options.directory << "\n  run again: tools/soak.sh --seed "
              << soak_options.seed << " --nodes " << soak_options.nodes << " --rate "
              << soak_options.rate_per_s << " --fault-seconds "
              << ebonymount::to_ms(soak_options.fault_phase) / 1000.0 << " --services "
              << soak_options.idle_services;
    for (std::size_t i = 0; i < soak_options.kinds.size(); ++i) {
        std::cout << (i == 0 ? " --kinds " : ",") << soak::name_of(soak_options.kinds[i]);
    }
    std::cout << "\n";
}

/// Exceptions that guards have caught, here and in the nodes: each would have ended a process.
std::int64_t count_exceptions(const std::string& log_directory) {
    std::int64_t exceptions = ebonymount::caught_exceptions();
    for (const auto& file : std::filesystem::directory_iterator(log_directory)) {
        std::ifstream log(file.path());
        for (std::string line; std::getline(log, line);) {
            exceptions += line.find(R"("event":"exception")") != std::string::npos ? 1 : 0;
        }
    }
    return exceptions;
}

bool run_seed(const soak::SoakOptions& soak_options) {
    std::filesystem::create_directories(soak_options.directory);
    const std::vector<soak::SoakStep> plan =
        soak::make_plan(soak_options.seed, soak_options.fault_phase, soak_options.kinds);
    soak::SoakEnvironment environment(soak_options);
    const soak::SoakChecker& checker = environment.run(plan);
    print_report(soak_options, plan, checker);
    const std::int64_t exceptions = count_exceptions(soak_options.directory);
    if (exceptions > 0) {
        std::cout << "  EXCEPTIONS: " << exceptions << " in " << soak_options.directory << "\n";
    }
    return checker.violations().empty() && exceptions == 0;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymount_soak",
                             "Randomized soak test of nodes on the users' platform");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value(FIRST_SEED))(
        "seeds", "number of consecutive seeds to run, one after the other",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "nodes", "number of node processes under test",
        cxxopts::value<std::size_t>()->default_value("6"))(
        "services", "services without traffic, each with a route and a target per data centre",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "kinds", "kinds of steps in the plan, separated by commas (default: all)",
        cxxopts::value<std::vector<std::string>>())("rate", "requests per second",
                                                    cxxopts::value<double>()->default_value("80"))(
        "fault-seconds", "length of the fault phase in seconds",
        cxxopts::value<std::int64_t>()->default_value("14"))(
        "instance",
        "second byte of the loopback addresses, 1 to 254; must differ between concurrent runs",
        cxxopts::value<int>()->default_value("20"))("front", "path of the program under test",
                                                    cxxopts::value<std::string>())(
        "directory", "directory for the settings files and logs of the nodes",
        cxxopts::value<std::string>())("plan", "print the timeline of the seed and exit")(
        "help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        soak::SoakOptions soak_options;
        soak_options.seed = arguments["seed"].as<std::uint64_t>();
        soak_options.nodes = arguments["nodes"].as<std::size_t>();
        soak_options.rate_per_s = arguments["rate"].as<double>();
        soak_options.fault_phase =
            ebonymount::from_ms(1000 * arguments["fault-seconds"].as<std::int64_t>());
        soak_options.instance = arguments["instance"].as<int>();
        soak_options.idle_services = arguments["services"].as<std::size_t>();
        if (arguments.count("kinds") > 0) {
            soak_options.kinds = kinds_of(arguments["kinds"].as<std::vector<std::string>>());
        }
        if (arguments.count("plan") > 0) {
            std::cout << soak::describe(
                soak::make_plan(soak_options.seed, soak_options.fault_phase, soak_options.kinds));
            return 0;
        }
        soak_options.front_program = arguments["front"].as<std::string>();
        const std::string directory = arguments["directory"].as<std::string>();
        bool held = true;
        for (std::uint64_t i = 0; i < arguments["seeds"].as<std::uint64_t>(); ++i) {
            soak::SoakOptions seed_options = soak_options;
            seed_options.seed = soak_options.seed + i;
            seed_options.directory = directory + "/seed-" + std::to_string(seed_options.seed);
            held = run_seed(seed_options) && held;
        }
        return held ? 0 : EXIT_BROKEN;
    } catch (const std::exception& error) {
        std::cerr << "ebonymount_soak: " << error.what() << "\n";
        return EXIT_CANNOT_RUN;
    }
}
