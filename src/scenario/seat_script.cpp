#include <functional>
#include <map>

#include "base/check.h"
#include "io/json_reader.h"
#include "scenario/script.h"
#include "scenario/seat_group.h"

namespace ebonymount {
namespace {

constexpr std::uint64_t SEED = 1;

SeatGroupOptions options_from(JsonReader& reader, const std::string& switch_off) {
    SeatGroupOptions options;
    options.limit = reader.integer_or("limit", 1, 1000, options.limit);
    options.lease = from_ms(reader.integer_or("lease_ms", 100, 600000, 6000));
    options.longest_request = from_ms(reader.integer_or("longest_request_ms", 1, 60000, 1500));
    user_check(switch_off.empty() || switch_off == "check_lease" || switch_off == "halve_share")
        << "unknown mechanism \"" << switch_off << "\" in twin";
    options.check_lease = switch_off != "check_lease";
    options.halve_share = switch_off != "halve_share";
    return options;
}

using HostAction = std::function<void(SeatGroup&, const std::string&)>;

const std::map<std::string, HostAction>& host_actions() {
    static const std::map<std::string, HostAction> actions = {
        {"start",
         [](SeatGroup& group, const std::string& host) {
             group.start(host);
         }},
        {"kill",
         [](SeatGroup& group, const std::string& host) {
             group.kill(host);
         }},
        {"stop",
         [](SeatGroup& group, const std::string& host) {
             group.stop(host);
         }},
        {"pause",
         [](SeatGroup& group, const std::string& host) {
             group.pause(host);
         }},
        {"resume",
         [](SeatGroup& group, const std::string& host) {
             group.resume(host);
         }},
        {"cut",
         [](SeatGroup& group, const std::string& host) {
             group.cut(host, true);
         }},
        {"uncut", [](SeatGroup& group, const std::string& host) {
             group.cut(host, false);
         }}};
    return actions;
}

void act(SeatGroup& group, JsonReader& reader) {
    for (const auto& [name, action] : host_actions()) {
        if (reader.find(name) != nullptr) {
            action(group, reader.text(name));
        }
    }
    if (reader.find("platform") != nullptr) {
        group.set_platform_down(reader.text("platform") == "down");
    }
    if (reader.find("lose_confirmations") != nullptr) {
        group.lose_confirmations(static_cast<int>(reader.integer("lose_confirmations", 0, 1000)));
    }
}

void expect(const SeatGroup& group, const Json& stated, std::int64_t at_ms,
            std::vector<std::string>& differences) {
    Json found = {{"holder", group.holder()},
                  {"epoch", group.stored().epoch},
                  {"stored_share", group.stored().share_64ths},
                  {"share", Json::object()}};
    for (const std::string& host : group.hosts()) {
        found["share"][host] = group.share(host);
    }
    for (const auto& [what, value] : stated.items()) {
        user_check(found.contains(what)) << "unknown member \"" << what << "\" in expect";
        if (found.at(what) != value) {
            differences.push_back("at " + std::to_string(at_ms) + " ms " + what + " is " +
                                  found.at(what).dump() + ", expected " + value.dump());
        }
    }
}

}  // namespace

std::vector<std::string> run_seat_script(const Json& script, const std::string& switch_off) {
    JsonReader reader(script, "script");
    SeatGroup group(options_from(reader, switch_off), reader.texts("hosts"), SEED);
    const Time start = group.now();
    std::vector<std::string> differences;
    for (const Json& document : reader.array("steps")) {
        JsonReader step(document, "step");
        const std::int64_t at_ms = step.integer("at_ms", 0, 86'400'000);
        const Duration ahead = start + from_ms(at_ms) - group.now();
        if (const std::optional<std::string> broken = group.run_for(ahead)) {
            differences.push_back(*broken);
            return differences;
        }
        act(group, step);
        if (const Json* stated = step.find("expect")) {
            expect(group, *stated, at_ms, differences);
        }
        step.text_or("note", "");
        step.finish();
    }
    return differences;
}

}  // namespace ebonymount
