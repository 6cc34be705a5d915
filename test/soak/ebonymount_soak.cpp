// Randomized soak: real nodes as separate processes, faults from outside them, promises checked
// from what callers, targets and operators see.
//
// Prints a line for each seed; for a seed that broke a promise also the timeline, the broken
// promises and the command that plays it again. Exit codes: 0 if every promise held, 1 if one was
// broken, 2 for bad arguments or a world that cannot be set up.
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "soak_environment.h"

namespace {

constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_CANNOT_RUN = 2;

/// Seeds that begin after it in turn when none is given.
constexpr const char* FIRST_SEED = "1";

void print_report(const soak::SoakOptions& soak_options, const std::vector<soak::SoakStep>& plan,
                  const soak::SoakChecker& checker) {
    const soak::SoakTotals& totals = checker.totals();
    std::cout << "seed " << soak_options.seed << ": "
              << (checker.violations().empty() ? "held" : "BROKEN") << ", " << plan.size()
              << " steps, " << totals.requests << " requests, " << totals.served << " served ("
              << totals.whole << " whole), " << totals.refused << " refused, " << totals.failed
              << " failed, " << totals.cut << " cut, " << totals.extra_arrivals
              << " extra arrivals\n";
    if (checker.violations().empty()) {
        return;
    }
    for (const std::string& violation : checker.violations()) {
        std::cout << "  " << violation << "\n";
    }
    std::cout << "  timeline after a lead of 3 s:\n" << soak::describe(plan);
    std::cout << "  logs of the nodes: " << soak_options.directory
              << "\n  again: tools/soak.sh --seed " << soak_options.seed << " --nodes "
              << soak_options.nodes << "\n";
}

bool play(const soak::SoakOptions& soak_options) {
    std::filesystem::create_directories(soak_options.directory);
    const std::vector<soak::SoakStep> plan =
        soak::make_plan(soak_options.seed, soak_options.faults);
    soak::SoakEnvironment world(soak_options);
    const soak::SoakChecker& checker = world.run(plan);
    print_report(soak_options, plan, checker);
    return checker.violations().empty();
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymount_soak", "Randomized soak of nodes on the users' platform");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value(FIRST_SEED))(
        "seeds", "how many seeds, one after the other",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "nodes", "processes under test", cxxopts::value<std::size_t>()->default_value("6"))(
        "rate", "requests a second", cxxopts::value<double>()->default_value("80"))(
        "fault-seconds", "length of the part with faults",
        cxxopts::value<std::int64_t>()->default_value("14"))(
        "instance", "second byte of the loopback addresses, 1 to 254",
        cxxopts::value<int>()->default_value("20"))("front", "the program under test",
                                                    cxxopts::value<std::string>())(
        "directory", "for settings and logs of the nodes", cxxopts::value<std::string>())(
        "plan", "print the timeline of the seed and exit")("help", "show this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        soak::SoakOptions soak_options;
        soak_options.seed = arguments["seed"].as<std::uint64_t>();
        soak_options.nodes = arguments["nodes"].as<std::size_t>();
        soak_options.rate = arguments["rate"].as<double>();
        soak_options.faults =
            ebonymount::from_ms(1000 * arguments["fault-seconds"].as<std::int64_t>());
        soak_options.instance = arguments["instance"].as<int>();
        if (arguments.count("plan") > 0) {
            std::cout << soak::describe(soak::make_plan(soak_options.seed, soak_options.faults));
            return 0;
        }
        soak_options.front_program = arguments["front"].as<std::string>();
        const std::string directory = arguments["directory"].as<std::string>();
        bool held = true;
        for (std::uint64_t i = 0; i < arguments["seeds"].as<std::uint64_t>(); ++i) {
            soak::SoakOptions one = soak_options;
            one.seed = soak_options.seed + i;
            one.directory = directory + "/seed-" + std::to_string(one.seed);
            held = play(one) && held;
        }
        return held ? 0 : EXIT_BROKEN;
    } catch (const std::exception& error) {
        std::cerr << "ebonymount_soak: " << error.what() << "\n";
        return EXIT_CANNOT_RUN;
    }
}
