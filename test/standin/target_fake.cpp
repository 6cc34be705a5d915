// Stand-in for the targets of one data centre, all in one process.
//
// Usage: target_fake FILE, where FILE has "control" and "targets". The control address accepts
//   GET  /report                        counters of each target
//   POST /set?match=TEXT&action=ACTION  applies an action to all targets whose id contains TEXT:
//        cold, restart, stop, start, drain, undrain, lie, tell_truth,
//        stragglers (share, factor), service (ms), snapshots (ids joined by commas)
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/hash.h"
#include "fake_target.h"
#include "stop_signal.h"

namespace {

using ebonymount::HandlerRequest;
using ebonymount::HandlerResponse;
using ebonymount::make_response;
using Targets = std::vector<std::unique_ptr<standin::FakeTarget>>;

constexpr int CONTROL_THREADS = 4;

standin::FakeTargetParameters parameters_from(const nlohmann::json& document) {
    standin::FakeTargetParameters parameters;
    parameters.id = document.at("id");
    parameters.address = document.at("address");
    parameters.slots = document.at("slots");
    parameters.connections = document.at("connections");
    parameters.open_ms = document.at("open_ms");
    parameters.service_ms = document.at("service_ms");
    parameters.snapshots = document.at("snapshots").get<std::set<std::string>>();
    return parameters;
}

nlohmann::json report_of(const standin::FakeTarget& target) {
    const standin::TargetReport report = target.report();
    return {{"id", target.parameters().id},
            {"answered", report.answered},
            {"started", report.started},
            {"shed", report.shed},
            {"overloads", report.overloads},
            {"cold_overloads", report.cold_overloads},
            {"blind_overloads", report.blind_overloads},
            {"cancelled", report.cancelled},
            {"crashes", report.crashes},
            {"duplicate_runs", report.duplicate_runs},
            {"connections", report.connections},
            {"most_running", report.max_running},
            {"last_start_ms", report.last_start_ms},
            {"runs", target.runs_by_key()}};
}

std::set<std::string> split(const std::string& text) {
    std::set<std::string> parts;
    std::istringstream input(text);
    std::string part;
    while (std::getline(input, part, ',')) {
        parts.insert(part);
    }
    return parts;
}

bool apply(standin::FakeTarget& target, const HandlerRequest& call) {
    const std::string action = call.parameter("action");
    if (action == "cold" || action == "restart") {
        target.make_cold(action == "restart");
    } else if (action == "stop") {
        target.stop();
    } else if (action == "start") {
        target.start();
    } else if (action == "drain" || action == "undrain") {
        target.set_draining(action == "drain");
    } else if (action == "lie" || action == "tell_truth") {
        target.set_serving_missing_snapshots(action == "lie");
    } else if (action == "stragglers") {
        target.set_stragglers(std::stod(call.parameter("share")),
                              std::stod(call.parameter("factor")));
    } else if (action == "service") {
        target.set_service_ms(std::stod(call.parameter("ms")));
    } else if (action == "snapshots") {
        target.set_snapshots(split(call.parameter("ids")));
    } else {
        return false;
    }
    return true;
}

HandlerResponse control(Targets& targets, const HandlerRequest& call) {
    if (call.path == "/report") {
        nlohmann::json report = nlohmann::json::array();
        for (const std::unique_ptr<standin::FakeTarget>& target : targets) {
            report.push_back(report_of(*target));
        }
        return make_response(200, report.dump());
    }
    int matched = 0;
    for (const std::unique_ptr<standin::FakeTarget>& target : targets) {
        if (target->parameters().id.find(call.parameter("match")) == std::string::npos) {
            continue;
        }
        if (!apply(*target, call)) {
            return make_response(400, "{\"message\":\"unknown action\"}");
        }
        ++matched;
    }
    return make_response(200, "{\"matched\":" + std::to_string(matched) + "}");
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: target_fake FILE\n";
        return 2;
    }
    const sigset_t signals = standin::block_stop_signals();
    std::ifstream input(argv[1]);
    const nlohmann::json file = nlohmann::json::parse(input, nullptr, true, true);
    Targets targets;
    for (const nlohmann::json& document : file.at("targets")) {
        const standin::FakeTargetParameters parameters = parameters_from(document);
        targets.push_back(std::make_unique<standin::FakeTarget>(
            parameters, true, ebonymount::stable_hash(parameters.id)));
    }
    ebonymount::Result<std::unique_ptr<ebonymount::HttpServer>> server =
        ebonymount::HttpServer::start(
            {file.at("control").get<std::string>(), CONTROL_THREADS},
            [&targets](const HandlerRequest& call) { return control(targets, call); });
    if (!ebonymount::has_value(server)) {
        std::cerr << ebonymount::describe(ebonymount::error_of(server)) << "\n";
        return 1;
    }
    standin::wait_for_stop(signals);
    return 0;
}
