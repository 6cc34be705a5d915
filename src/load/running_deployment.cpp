#include "load/running_deployment.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "base/check.h"
#include "io/http_client.h"
#include "io/http_status.h"

namespace ebonymount {
namespace {

/// Timeout of each request to a node or stand-in.
constexpr Duration TIMEOUT = from_ms(10000);
constexpr Duration READY_TIMEOUT = from_ms(30000);
constexpr std::chrono::milliseconds POLL_INTERVAL(50);

Json read_file(const std::filesystem::path& file) {
    std::ifstream input(file);
    return Json::parse(input, nullptr, true, true);
}

/// Sends a request and returns the JSON of the response. Throws `InternalFault` unless the response
/// has status 200 and a JSON body.
Json call(const std::string& address, const std::string& method, const std::string& path,
          const std::string& body) {
    const HttpResponse response = exchange_once(address, {method, path, {}, body}, TIMEOUT);
    const Json document = Json::parse(response.body, nullptr, false);
    internal_check(response.status == http::OK && !document.is_discarded())
        << method << " " << path << " at " << address << " returned status " << response.status
        << " " << response.error << response.body;
    return document;
}

/// True if a node is ready and lists a lease holder for each of `groups` target groups.
bool is_ready(const Json& status, std::size_t groups) {
    std::size_t held_leases = 0;
    if (!status.contains("seats")) {
        return false;
    }
    for (const auto& [group, record] : status.at("seats").items()) {
        held_leases += record.at("released").get<bool>() ? 0 : 1;
    }
    return status.at("ready").get<bool>() && held_leases >= groups;
}

}  // namespace

Result<RunningDeployment> deployment_from_directory(const std::string& directory) {
    try {
        RunningDeployment deployment;
        std::vector<std::filesystem::path> files;
        for (const auto& entry : std::filesystem::directory_iterator(directory)) {
            files.push_back(entry.path());
        }
        std::sort(files.begin(), files.end());
        for (const std::filesystem::path& file : files) {
            const std::string name = file.filename().string();
            if (file.extension() != ".json") {
                continue;
            }
            const Json document = read_file(file);
            if (name.rfind("node-", 0) == 0) {
                deployment.callers.push_back(document.at("caller_address"));
                deployment.admins.push_back(document.at("admin_address"));
            } else if (name.rfind("targets-", 0) == 0) {
                deployment.target_controls.push_back(document.at("control"));
            } else if (name == "platform.json") {
                deployment.platform = document.at("address");
            }
        }
        return deployment;
    } catch (const std::exception& error) {
        return Error{ErrorCode::invalid_input, error.what(), directory};
    }
}

bool wait_until_ready(const RunningDeployment& deployment) {
    const Time deadline = monotonic_now() + READY_TIMEOUT;
    while (monotonic_now() < deadline) {
        std::size_t ready_nodes = 0;
        for (const std::string& admin : deployment.admins) {
            const HttpResponse response =
                exchange_once(admin, {"GET", "/admin/v1/status", {}, ""}, TIMEOUT);
            const Json status = Json::parse(response.body, nullptr, false);
            ready_nodes += status.is_object() && is_ready(status, deployment.admins.size()) ? 1 : 0;
        }
        if (ready_nodes == deployment.admins.size()) {
            return true;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return false;
}

void set_cells(const RunningDeployment& deployment, const std::string& service,
               const std::map<std::string, std::int64_t>& cells) {
    const std::string& admin = deployment.admins.front();
    Json table = call(admin, "GET", "/admin/v1/table", "");
    for (Json& row : table.at("table")) {
        if (row.at("service") != service) {
            continue;
        }
        for (const auto& [name, value] : cells) {
            row.at("cells").at(name)["value"] = value;
        }
    }
    call(admin, "PUT", "/admin/v1/draft", table.dump());
    const std::int64_t generation =
        call(admin, "POST", "/admin/v1/accept", "").at("generation").get<std::int64_t>();
    for (const std::string& node : deployment.admins) {
        while (call(node, "GET", "/admin/v1/status", "").at("generation") < generation) {
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
    }
}

void control_targets(const RunningDeployment& deployment, const std::string& match,
                     const std::string& query) {
    for (const std::string& control : deployment.target_controls) {
        call(control, "POST", "/set?match=" + match + "&" + query, "");
    }
}

void set_platform_fault(const RunningDeployment& deployment, const std::string& query) {
    call(deployment.platform, "POST", "/fault?" + query, "");
}

void set_data_centre_out_of_service(const RunningDeployment& deployment, const std::string& name,
                                    bool out) {
    call(deployment.admins.front(), "POST",
         "/admin/v1/data-centres/" + name + (out ? "/out" : "/in"), "");
}

TargetTotals target_totals(const RunningDeployment& deployment, const std::string& match) {
    TargetTotals totals;
    for (const std::string& control : deployment.target_controls) {
        for (const Json& report : call(control, "GET", "/report", "")) {
            if (report.at("id").get<std::string>().find(match) == std::string::npos) {
                continue;
            }
            totals.started += report.at("started").get<std::int64_t>();
            totals.answered += report.at("answered").get<std::int64_t>();
            totals.overloads += report.at("overloads").get<std::int64_t>();
            totals.cold_overloads += report.at("cold_overloads").get<std::int64_t>();
            totals.blind_overloads += report.at("blind_overloads").get<std::int64_t>();
            totals.duplicate_runs += report.at("duplicate_runs").get<std::int64_t>();
            totals.crashes += report.at("crashes").get<std::int64_t>();
            totals.last_start_ms =
                std::max(totals.last_start_ms, report.at("last_start_ms").get<std::int64_t>());
        }
    }
    return totals;
}

ExtraSubQueryTotals extra_sub_query_totals(const RunningDeployment& deployment,
                                           const std::string& service) {
    ExtraSubQueryTotals totals;
    for (const std::string& admin : deployment.admins) {
        const Json status = call(admin, "GET", "/admin/v1/status", "");
        const Json sub_queries = status.at("extra_load").value(service, Json::object());
        totals.planned += sub_queries.value("planned", 0);
        totals.extra += sub_queries.value("extra", 0);
    }
    return totals;
}

Json traces_of(const RunningDeployment& deployment, std::size_t node) {
    return call(deployment.admins.at(node), "GET", "/admin/v1/traces", "");
}

}  // namespace ebonymount
