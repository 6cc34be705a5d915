// Runs scripted scenarios and random schedules against the decision library in virtual time.
//
// Exit codes: 0 when all outcomes are as stated, 1 when one is not, 2 for bad arguments or files.
#include <cxxopts.hpp>
#include <iostream>

#include "scenario/explore.h"

namespace {

constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_BAD_INPUT = 2;

/// Runs seeds `first` to `first + count - 1` of each kind; prints the first failure of a kind.
int explore(const std::string& kind, std::uint64_t first, std::uint64_t count) {
    int exit_code = 0;
    bool known = kind.empty();
    for (const ebonymount::Exploration& exploration : ebonymount::explorations()) {
        if (!kind.empty() && exploration.name != kind) {
            continue;
        }
        known = true;
        std::int64_t steps = 0;
        std::uint64_t failures = 0;
        for (std::uint64_t seed = first; seed < first + count; ++seed) {
            const ebonymount::ExploreResult result = exploration.run(seed);
            steps += result.steps;
            if (result.failure.has_value() && ++failures == 1) {
                std::cout << exploration.name << " seed " << seed << ": " << *result.failure
                          << "\n";
            }
        }
        std::cout << exploration.name << ": " << count << " seeds, " << steps << " steps, "
                  << failures << " broken\n";
        exit_code = failures > 0 ? EXIT_BROKEN : exit_code;
    }
    if (!known) {
        std::cerr << "ebonymount_scenario: unknown kind \"" << kind << "\"\n";
        return EXIT_BAD_INPUT;
    }
    return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymount_scenario", "Drives the decision library in virtual time");
    options.add_options()("explore", "run random schedules")(
        "kind", "only this kind of schedule", cxxopts::value<std::string>()->default_value(""))(
        "first", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "help", "show this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("explore") > 0) {
            return explore(arguments["kind"].as<std::string>(),
                           arguments["first"].as<std::uint64_t>(),
                           arguments["seeds"].as<std::uint64_t>());
        }
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : EXIT_BAD_INPUT;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymount_scenario: " << error.what() << "\n";
        return EXIT_BAD_INPUT;
    }
}
