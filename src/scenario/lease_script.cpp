#include <functional>
#include <map>

#include "base/check.h"
#include "io/json_reader.h"
#include "scenario/lease_simulation.h"
#include "scenario/script.h"

namespace ebonymount {
namespace {

constexpr std::uint64_t SEED = 1;

LeaseSimulationOptions options_from(JsonReader& reader, const std::string& disabled_mechanism) {
    LeaseSimulationOptions options;
    options.limit = reader.integer_or("limit", 1, 1000, options.limit);
    options.lease_duration = from_ms(reader.integer_or("lease_ms", 100, 600000, 6000));
    options.max_request_time = from_ms(reader.integer_or("longest_request_ms", 1, 60000, 1500));
    user_check(disabled_mechanism.empty() || disabled_mechanism == "check_lease" ||
               disabled_mechanism == "halve_share")
        << "unknown mechanism \"" << disabled_mechanism << "\" in twin";
    options.check_lease = disabled_mechanism != "check_lease";
    options.halve_share = disabled_mechanism != "halve_share";
    return options;
}

using HostAction = std::function<void(LeaseSimulation&, const std::string&)>;

const std::map<std::string, HostAction>& host_actions() {
    static const std::map<std::string, HostAction> actions = {
        {"start",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.start(host);
         }},
        {"kill",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.kill(host);
         }},
        {"stop",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.stop(host);
         }},
        {"pause",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.pause(host);
         }},
        {"resume",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.resume(host);
         }},
        {"cut",
         [](LeaseSimulation& simulation, const std::string& host) {
             simulation.cut(host, true);
         }},
        {"uncut", [](LeaseSimulation& simulation, const std::string& host) {
             simulation.cut(host, false);
         }}};
    return actions;
}

void apply_action(LeaseSimulation& simulation, JsonReader& reader) {
    for (const auto& [name, action] : host_actions()) {
        if (reader.find(name) != nullptr) {
            action(simulation, reader.text(name));
        }
    }
    if (reader.find("platform") != nullptr) {
        simulation.set_platform_down(reader.text("platform") == "down");
    }
    if (reader.find("lose_confirmations") != nullptr) {
        simulation.lose_confirmations(
            static_cast<int>(reader.integer("lose_confirmations", 0, 1000)));
    }
}

void expect(const LeaseSimulation& simulation, const Json& expected, std::int64_t at_ms,
            std::vector<std::string>& differences) {
    Json found = {{"holder", simulation.holder()},
                  {"epoch", simulation.stored().epoch},
                  {"stored_share", simulation.stored().share_64ths},
                  {"share", Json::object()}};
    for (const std::string& host : simulation.hosts()) {
        found["share"][host] = simulation.share(host);
    }
    for (const auto& [what, value] : expected.items()) {
        user_check(found.contains(what)) << "unknown member \"" << what << "\" in expect";
        if (found.at(what) != value) {
            differences.push_back("at " + std::to_string(at_ms) + " ms " + what + " is " +
                                  found.at(what).dump() + ", expected " + value.dump());
        }
    }
}

}  // namespace

std::vector<std::string> run_lease_script(const Json& script,
                                          const std::string& disabled_mechanism) {
    JsonReader reader(script, "script");
    LeaseSimulation simulation(options_from(reader, disabled_mechanism), reader.texts("hosts"),
                               SEED);
    const Time start = simulation.now();
    std::vector<std::string> differences;
    for (const Json& document : reader.array("steps")) {
        JsonReader step(document, "step");
        const std::int64_t at_ms = step.integer("at_ms", 0, 86'400'000);
        const Duration time_to_step = start + from_ms(at_ms) - simulation.now();
        if (const std::optional<std::string> violation = simulation.run_for(time_to_step)) {
            differences.push_back(*violation);
            return differences;
        }
        apply_action(simulation, step);
        if (const Json* expected = step.find("expect")) {
            expect(simulation, *expected, at_ms, differences);
        }
        step.text_or("note", "");
        step.finish();
    }
    return differences;
}

}  // namespace ebonymount
