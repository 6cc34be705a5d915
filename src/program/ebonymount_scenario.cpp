// Runs scripted scenarios and random schedules against the decision library in virtual time.
//
// Exit codes: 0 when all outcomes are as expected, 1 when one is not, 2 for bad arguments or files.
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "scenario/explore.h"
#include "scenario/script.h"

namespace {

constexpr int EXIT_FAILED = 1;
constexpr int EXIT_BAD_INPUT = 2;

/// Runs script files and prints the differences from the expected outcomes.
int run_files(const std::vector<std::string>& files) {
    int exit_code = 0;
    for (const std::string& file : files) {
        std::ifstream input(file);
        const std::string text((std::istreambuf_iterator<char>(input)),
                               std::istreambuf_iterator<char>());
        const ebonymount::Result<ebonymount::Json> script = ebonymount::parse_json(text, file);
        const ebonymount::Result<ebonymount::ScriptResult> result =
            ebonymount::has_value(script)
                ? ebonymount::run_script(ebonymount::value_of(script))
                : ebonymount::Result<ebonymount::ScriptResult>(ebonymount::error_of(script));
        if (!ebonymount::has_value(result)) {
            std::cerr << "ebonymount_scenario: " << file << ": "
                      << ebonymount::describe(ebonymount::error_of(result)) << "\n";
            return EXIT_BAD_INPUT;
        }
        const ebonymount::ScriptResult& script_result = ebonymount::value_of(result);
        std::cout << (ebonymount::passed(script_result) ? "ok      " : "FAILED  ")
                  << script_result.name << (script_result.has_mutant ? ", with mutant" : "")
                  << "\n";
        for (const std::string& difference : script_result.differences) {
            std::cout << "        " << difference << "\n";
        }
        if (script_result.has_mutant && !script_result.mutant_failed) {
            std::cout << "        the mutant passed although its mechanism is disabled\n";
        }
        exit_code = ebonymount::passed(script_result) ? exit_code : EXIT_FAILED;
    }
    return exit_code;
}

/// Runs seeds `first` to `first + count - 1` of each kind and prints the first failure of a kind.
/// An empty `kind` selects all kinds.
int explore(const std::string& kind, std::uint64_t first, std::uint64_t count) {
    int exit_code = 0;
    bool kind_found = kind.empty();
    for (const ebonymount::Exploration& exploration : ebonymount::explorations()) {
        if (!kind.empty() && exploration.name != kind) {
            continue;
        }
        kind_found = true;
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
                  << failures << " failed\n";
        exit_code = failures > 0 ? EXIT_FAILED : exit_code;
    }
    if (!kind_found) {
        std::cerr << "ebonymount_scenario: unknown kind \"" << kind << "\"\n";
        return EXIT_BAD_INPUT;
    }
    return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymount_scenario", "Tests the decision library in virtual time");
    options.add_options()("explore", "run random schedules")(
        "kind", "only this kind of schedule", cxxopts::value<std::string>()->default_value(""))(
        "first", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "help", "show this help")("files", "scenario scripts",
                                  cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"files"});
    options.positional_help("FILE ...");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("explore") > 0) {
            return explore(arguments["kind"].as<std::string>(),
                           arguments["first"].as<std::uint64_t>(),
                           arguments["seeds"].as<std::uint64_t>());
        }
        if (arguments.count("files") > 0) {
            return run_files(arguments["files"].as<std::vector<std::string>>());
        }
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : EXIT_BAD_INPUT;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymount_scenario: " << error.what() << "\n";
        return EXIT_BAD_INPUT;
    }
}
