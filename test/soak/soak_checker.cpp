#include "soak_checker.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "io/http_status.h"
#include "policy/record_merge.h"

namespace soak {

using ebonymount::from_ms;
using ebonymount::to_ms;
namespace http = ebonymount::http;

namespace {

constexpr int SERVER_ERROR = 500;

/// Factor for the downgrade slack of a disturbed node.
constexpr std::int64_t DISTURBED_SLACK_FACTOR = 8;

/// Minimum fraction of the requests sent after recovery that must be served.
constexpr double MIN_SERVED_SHARE = 0.75;

/// Tolerated late responses, as a fraction and as a count. The count also applies to runs that
/// start after a disconnect. The soak shares its processors with other work, which delays
/// responses.
constexpr double MAX_LATE_SHARE = 0.25;
constexpr std::int64_t NOISE_COUNT = 8;

/// After a caller has disconnected, no target may start its request later than this.
constexpr Duration DISCONNECT_SLACK = from_ms(500);

bool is_success(int status) {
    return status >= http::OK && status < http::MULTIPLE_CHOICES;
}

/// Statuses that promise that the request has not run and will not run.
bool promises_not_run(int status) {
    return status == http::TOO_MANY_REQUESTS || status == http::UNAVAILABLE ||
           status == http::REQUEST_TIMEOUT || status == http::MISDIRECTED;
}

Time later(Time left, Time right) {
    return std::max(left, right);
}

std::int64_t count_between(const std::vector<Time>& times, Time from, Time until) {
    return std::lower_bound(times.begin(), times.end(), until) -
           std::lower_bound(times.begin(), times.end(), from);
}

/// The route of a configuration with the longest prefix of `name`, or null.
const SoakRoute* find_route(const SoakConfig& config, std::string name) {
    for (;;) {
        const auto found = config.routes.find(name);
        if (found != config.routes.end()) {
            return &found->second;
        }
        const std::size_t slash = name.rfind('/');
        if (slash == std::string::npos) {
            return nullptr;
        }
        name.resize(slash);
    }
}

/// A target with a limit gets at most this many times its limit in a window, and some requests.
constexpr Duration LIMIT_WINDOW = ebonymount::from_ms(4000);
constexpr double LIMIT_FACTOR = 1.5;
constexpr double LIMIT_SLACK = 5.0;

/// A node may not know of a limit until the target has answered it; a response may be lost.
constexpr std::int64_t ARRIVALS_UNTIL_LIMIT_KNOWN = 5;

}  // namespace

SoakChecker::SoakChecker(const SoakBounds& bounds) : m_bounds(bounds) {}

void SoakChecker::add_violation(const std::string& rule, const std::string& message) {
    m_violations.push_back(rule + ": " + message);
}

void SoakChecker::on_config(const SoakConfig& config) {
    m_configs.push_back(config);
}

void SoakChecker::on_request(const SoakRequest& request) {
    ++m_totals.requests;
    Entry entry;
    entry.request = request;
    m_entries.emplace(request.id, entry);
    const SoakRoute* route = newest_route(request.route);
    if (route != nullptr) {
        for (const std::string& service : route->services) {
            m_sent_requests[service].push_back(request.sent);
        }
    }
}

const SoakRoute* SoakChecker::newest_route(const std::string& name) const {
    return m_configs.empty() ? nullptr : find_route(m_configs.back(), name);
}

bool SoakChecker::is_stable(const std::string& node, Time now) const {
    const auto disturbance = m_node_disturbed_until.find(node);
    const Time node_disturbed_until =
        disturbance == m_node_disturbed_until.end() ? Time{} : disturbance->second;
    return now > later(node_disturbed_until, m_store_disturbed_until) + m_bounds.stable_window;
}

bool SoakChecker::is_node_disturbed(const std::string& node, Time now) const {
    const auto disturbance = m_node_disturbed_until.find(node);
    return disturbance != m_node_disturbed_until.end() &&
           now <= disturbance->second + m_bounds.stable_window;
}

std::vector<const SoakConfig*> SoakChecker::valid_configs(const Entry& entry) const {
    std::vector<const SoakConfig*> configs;
    const bool stable = is_stable(entry.request.node, entry.request.sent);
    for (std::size_t i = 0; i < m_configs.size(); ++i) {
        const bool is_newest = i + 1 == m_configs.size();
        const bool superseded = !is_newest && entry.request.sent > m_configs[i + 1].acknowledged +
                                                                       m_bounds.config_apply;
        if (!(stable && superseded)) {
            configs.push_back(&m_configs[i]);
        }
    }
    return configs;
}

std::vector<const SoakRoute*> SoakChecker::valid_routes(const Entry& entry) const {
    std::vector<const SoakRoute*> routes;
    for (const SoakConfig* config : valid_configs(entry)) {
        const SoakRoute* route = find_route(*config, entry.request.route);
        if (route != nullptr) {
            routes.push_back(route);
        }
    }
    return routes;
}

bool SoakChecker::may_lack_route(const Entry& entry) const {
    const bool may_have_none =
        m_configs.empty() || !is_stable(entry.request.node, entry.request.sent) ||
        entry.request.sent <= m_configs.front().acknowledged + m_bounds.config_apply;
    return may_have_none || valid_routes(entry).size() < valid_configs(entry).size();
}

void SoakChecker::on_arrival(const SoakTarget& target, const SoakRequest& seen, Time now) {
    const auto found = m_entries.find(seen.id);
    if (found == m_entries.end()) {
        add_violation("UNASKED", target.id + " received a request that no caller sent: " + seen.id);
        return;
    }
    Entry& entry = found->second;
    if (seen.method != entry.request.method || seen.path != entry.request.path ||
        seen.body != entry.request.body) {
        add_violation("UNASKED", target.id + " received a modified request: " + seen.id);
    }
    if (++entry.arrivals[target.service] > 1) {
        ++m_totals.extra_arrivals;
        m_extra_arrivals[target.service].push_back(now);
    }
    check_limit(target, entry.request.node, now);
    check_home(entry, target);
    const auto disturbance = m_target_disturbed_until.find(target.id);
    const bool target_disturbed = disturbance != m_target_disturbed_until.end() &&
                                  now <= disturbance->second + m_bounds.stable_window;
    if (target_disturbed || !is_stable(entry.request.node, now)) {
        return;
    }
    const auto leaving = m_leaving.find(target.id);
    if (leaving != m_leaving.end() && now > leaving->second + m_bounds.drain) {
        add_violation("DRAIN", target.id + " received " + seen.id + " from " + entry.request.node +
                                   ", " + std::to_string(to_ms(now - leaving->second)) +
                                   " ms after its drain or removal was acknowledged");
    }
    const auto out = m_out_of_service.find(target.data_centre);
    if (out != m_out_of_service.end() && now > out->second + m_bounds.evacuate) {
        add_violation("EVAC", target.id + " received " + seen.id + " from " + entry.request.node +
                                  ", " + std::to_string(to_ms(now - out->second)) +
                                  " ms after its data centre was taken out of service");
    }
}

void SoakChecker::on_limit(const std::string& target, double per_second, Time now) {
    m_limits[target] = {per_second, now, {}, {}};
}

void SoakChecker::on_limit_ended(const std::string& target) {
    m_limits.erase(target);
}

void SoakChecker::check_limit(const SoakTarget& target, const std::string& node, Time now) {
    const auto found = m_limits.find(target.id);
    if (found == m_limits.end()) {
        return;
    }
    Limit& limit = found->second;
    const bool knows_limit = ++limit.arrivals_by_node[node] > ARRIVALS_UNTIL_LIMIT_KNOWN;
    if (!knows_limit || !is_stable(node, now) || now < limit.since + m_bounds.stable_window) {
        return;
    }
    limit.counted.push_back(now);
    while (now - limit.counted.front() >= LIMIT_WINDOW) {
        limit.counted.pop_front();
    }
    const double allowed = LIMIT_FACTOR * limit.per_second *
                               static_cast<double>(LIMIT_WINDOW / ebonymount::from_ms(1000)) +
                           LIMIT_SLACK;
    if (static_cast<double>(limit.counted.size()) > allowed) {
        add_violation("LIMIT", target.id + " received " + std::to_string(limit.counted.size()) +
                                   " requests in 4 s and names a limit of " +
                                   std::to_string(limit.per_second) + " a second");
    }
}

void SoakChecker::on_run(const SoakTarget& target, const std::string& request, Time now) {
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return;
    }
    Entry& entry = found->second;
    ++entry.runs;
    if (entry.caller_disconnected && now > entry.disconnected_at + DISCONNECT_SLACK &&
        is_stable(entry.request.node, now)) {
        m_runs_after_disconnect.push_back(request);
    }
    const std::vector<const SoakRoute*> routes = valid_routes(entry);
    const bool is_idempotent = std::any_of(
        routes.begin(), routes.end(), [](const SoakRoute* route) { return route->idempotent; });
    if (entry.runs > 1 && !is_idempotent) {
        add_violation("TWICE", request + " ran again at " + target.id);
    }
    if (entry.answered && promises_not_run(entry.status) && !is_idempotent) {
        add_violation("REFUSED", request + " ran at " + target.id + " after it was rejected");
    }
    check_service(entry, target.service, now);
}

bool SoakChecker::allows(const SoakConfig& config, const Entry& entry, const std::string& service) {
    const SoakRoute* route = find_route(config, entry.request.route);
    return route != nullptr &&
           std::count(route->services.begin(), route->services.end(), service) > 0;
}

void SoakChecker::check_regress(const Entry& entry, std::size_t newest, const std::string& what) {
    const auto found = m_versions_seen.find(entry.request.node);
    if (found == m_versions_seen.end() || entry.request.sent < found->second.started) {
        return;
    }
    const Duration slack =
        m_bounds.downgrade_slack *
        (is_node_disturbed(entry.request.node, entry.request.sent) ? DISTURBED_SLACK_FACTOR : 1);
    for (const auto& [time, oldest] : found->second.since) {
        if (oldest > newest && entry.request.sent > time + slack) {
            add_violation("CONFIG",
                          entry.request.id + " (" + entry.request.path + ") from " +
                              entry.request.node + " " + what + ", which only version " +
                              std::to_string(m_configs[newest].version) +
                              " or older allows, though version " +
                              std::to_string(m_configs[oldest].version) + " was seen in force " +
                              std::to_string(to_ms(entry.request.sent - time)) + " ms earlier");
            return;
        }
    }
}

void SoakChecker::check_service(const Entry& entry, const std::string& service, Time now) {
    std::vector<std::size_t> allowing;
    for (std::size_t i = 0; i < m_configs.size(); ++i) {
        if (allows(m_configs[i], entry, service)) {
            allowing.push_back(i);
        }
    }
    if (allowing.empty()) {
        add_violation("ROUTE", entry.request.id + " ran at service " + service +
                                   ", which no configuration version allows");
        return;
    }
    check_regress(entry, allowing.back(), "ran at service " + service);
    VersionsSeen& seen = m_versions_seen[entry.request.node];
    if (entry.request.sent >= seen.started &&
        (seen.since.empty() || seen.since.back().second < allowing.front())) {
        seen.since.emplace_back(now, allowing.front());
    }
    const std::vector<const SoakRoute*> routes = valid_routes(entry);
    const bool allowed =
        std::any_of(routes.begin(), routes.end(), [&service](const SoakRoute* route) {
            return std::count(route->services.begin(), route->services.end(), service) > 0;
        });
    if (!allowed) {
        add_violation("CONFIG", entry.request.id + " (" + entry.request.path + ") from " +
                                    entry.request.node + " ran at service " + service +
                                    ", which only a superseded configuration version allows");
    }
}

void SoakChecker::check_home(const Entry& entry, const SoakTarget& target) {
    const std::vector<const SoakRoute*> routes = valid_routes(entry);
    const bool allowed =
        routes.empty() ||
        std::any_of(routes.begin(), routes.end(), [&target](const SoakRoute* route) {
            return route->regions.empty() ||
                   std::count(route->regions.begin(), route->regions.end(), target.region) > 0;
        });
    if (!allowed) {
        add_violation("HOME", entry.request.id + " (" + entry.request.path + ") from " +
                                  entry.request.node + " reached " + target.id + " in " +
                                  target.region + ", which is no home of its route");
    }
}

void SoakChecker::on_target_response(const SoakTarget& target, const std::string& request,
                                     const std::string& signature, const std::string& body,
                                     bool success) {
    m_parts[signature] = Part{request, target.service, body, success};
}

void SoakChecker::on_caller_disconnected(const std::string& request, Time now) {
    const auto found = m_entries.find(request);
    if (found != m_entries.end()) {
        found->second.caller_disconnected = true;
        found->second.disconnected_at = now;
    }
}

void SoakChecker::on_malformed(const std::string& request) {
    add_violation("MIXED", request + " received bytes that are not an HTTP response");
}

bool SoakChecker::is_open(const std::string& request) const {
    const auto found = m_entries.find(request);
    return found != m_entries.end() && !found->second.answered;
}

void SoakChecker::on_response(const std::string& request, const SoakResponse& response, Time now) {
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        add_violation("MIXED", "received a response to a request that was not sent: " + request);
        return;
    }
    Entry& entry = found->second;
    if (!response.request_id.empty() && response.request_id != request) {
        add_violation("MIXED", request + " received the response to " + response.request_id);
    }
    entry.answered = true;
    entry.responded_at = now;
    entry.status = response.status;
    if (response.status == 0) {
        ++m_totals.cut_off;
        check_cut_off(entry, now);
        return;
    }
    const std::vector<const SoakRoute*> routes = valid_routes(entry);
    if (is_success(response.status)) {
        ++m_totals.served;
        m_totals.complete += response.missing_parts == 0 ? 1 : 0;
        if (response.part_signatures.empty()) {
            check_plain(entry, response);
        } else {
            check_fan_out(entry, response);
        }
    } else if (promises_not_run(response.status)) {
        ++m_totals.rejected;
        const bool is_idempotent = std::any_of(
            routes.begin(), routes.end(), [](const SoakRoute* route) { return route->idempotent; });
        if (entry.runs > 0 && !is_idempotent) {
            add_violation("REFUSED", request + " has run but was rejected with status " +
                                         std::to_string(response.status));
        }
    } else {
        ++m_totals.failed;
        // A 4xx from the node itself is allowed only if a version that may be in force lacks the
        // route.
        const bool denied_by_node = response.status < SERVER_ERROR && response.signature.empty();
        if (denied_by_node) {
            check_denied(entry, response.status);
        }
        if (denied_by_node && !may_lack_route(entry)) {
            add_violation("DENIED", request + " (" + entry.request.path + ") from " +
                                        entry.request.node + " was denied with status " +
                                        std::to_string(response.status));
        }
    }
}

void SoakChecker::check_denied(const Entry& entry, int status) {
    for (std::size_t i = m_configs.size(); i > 0; --i) {
        if (find_route(m_configs[i - 1], entry.request.route) == nullptr) {
            check_regress(entry, i - 1, "was denied with status " + std::to_string(status));
            return;
        }
    }
}

void SoakChecker::check_plain(const Entry& entry, const SoakResponse& response) {
    const auto part = m_parts.find(response.signature);
    if (part == m_parts.end() || part->second.request != entry.request.id) {
        add_violation("MIXED",
                      entry.request.id + " received a success without a signature of its target");
        return;
    }
    if (!part->second.success || part->second.body != response.body) {
        add_violation("MIXED",
                      entry.request.id + " received a response that differs from its target's");
    }
}

void SoakChecker::check_fan_out(const Entry& entry, const SoakResponse& response) {
    std::set<std::string> services;
    std::vector<std::string_view> bodies;
    for (const std::string& signature : response.part_signatures) {
        const auto part = m_parts.find(signature);
        if (part == m_parts.end() || part->second.request != entry.request.id ||
            !part->second.success) {
            add_violation(
                "MIXED", entry.request.id +
                             " lists a part that is not a successful response to it: " + signature);
            return;
        }
        if (!services.insert(part->second.service).second) {
            add_violation("MIXED", entry.request.id + " has two parts of " + part->second.service);
            return;
        }
        bodies.push_back(part->second.body);
    }
    const SoakRoute* matching_route = nullptr;
    for (const SoakConfig& config : m_configs) {
        const SoakRoute* route = find_route(config, entry.request.route);
        if (route == nullptr) {
            continue;
        }
        const std::set<std::string> all(route->services.begin(), route->services.end());
        const bool within = std::includes(all.begin(), all.end(), services.begin(), services.end());
        if (within &&
            all.size() == services.size() + static_cast<std::size_t>(response.missing_parts)) {
            matching_route = route;
        }
    }
    if (matching_route == nullptr) {
        add_violation("MIXED", entry.request.id + " has parts that match no version of its route");
        return;
    }
    const double coverage =
        static_cast<double>(services.size()) / static_cast<double>(matching_route->services.size());
    if (coverage + 1e-9 < matching_route->min_coverage) {
        add_violation("MIXED",
                      entry.request.id + " has less than the minimum coverage of its route");
    }
    if (ebonymount::merge_records(bodies, matching_route->top_k) != response.body) {
        add_violation("MIXED",
                      entry.request.id + " does not consist of the top records of its parts");
    }
}

void SoakChecker::check_cut_off(const Entry& entry, Time now) {
    const auto stop = m_planned_stops.find(entry.request.node);
    if (entry.caller_disconnected || stop == m_planned_stops.end()) {
        return;
    }
    const bool around_stop =
        now >= stop->second && now <= stop->second + m_bounds.grace + from_ms(1000);
    const auto disturbance = m_node_disturbed_until.find(entry.request.node);
    const Time undisturbed_since = entry.request.sent - m_bounds.stable_window;
    const bool disturbed =
        disturbance != m_node_disturbed_until.end() && disturbance->second > undisturbed_since;
    const bool was_passed_on = !entry.arrivals.empty();
    const bool was_read = was_passed_on || now - entry.request.sent > m_bounds.loss_slack;
    // A request that was sent long after the signal may reach the process as it exits, but then it
    // must not be passed on.
    const bool in_time = entry.request.sent <= stop->second + from_ms(3000) || was_passed_on;
    if (around_stop && !disturbed && was_read && in_time) {
        add_violation("LOST", entry.request.id + " was cut off by the graceful shutdown of " +
                                  entry.request.node);
    }
}

void SoakChecker::on_target_leaving(const std::string& target, Time now) {
    m_leaving.emplace(target, now);
}

void SoakChecker::on_data_centre(const std::string& data_centre, bool in_service, Time now) {
    if (in_service) {
        m_out_of_service.erase(data_centre);
    } else {
        m_out_of_service.emplace(data_centre, now);
    }
}

void SoakChecker::mark_node_disturbed(const std::string& node, Time until) {
    m_node_disturbed_until[node] = later(m_node_disturbed_until[node], until);
}

void SoakChecker::mark_store_disturbed(Time until) {
    m_store_disturbed_until = later(m_store_disturbed_until, until);
}

void SoakChecker::mark_target_disturbed(const std::string& target, Time until) {
    m_target_disturbed_until[target] = later(m_target_disturbed_until[target], until);
}

void SoakChecker::on_node_started(const std::string& node, Time now) {
    m_versions_seen[node] = {now, {}};
}

void SoakChecker::on_planned_stop(const std::string& node, Time now) {
    m_planned_stops[node] = now;
}

void SoakChecker::on_unexpected_end(const std::string& node, int status) {
    add_violation("ENDED", node + " ended unexpectedly, wait status " + std::to_string(status));
}

void SoakChecker::finish(Time calm_since, Time now) {
    std::int64_t calm_requests = 0;
    std::int64_t calm_served = 0;
    std::int64_t expected = 0;
    std::vector<std::string> late_requests;
    for (const auto& [id, entry] : m_entries) {
        const SoakRoute* route = newest_route(entry.request.route);
        if (route == nullptr || entry.caller_disconnected) {
            continue;
        }
        const Time due = entry.request.sent + route->timeout + m_bounds.timeout_slack;
        const bool is_due = due < now;
        if (is_due && is_stable(entry.request.node, entry.request.sent)) {
            ++expected;
            if (!entry.answered || entry.responded_at > due) {
                late_requests.push_back(id);
            }
        }
        if (entry.request.sent >= calm_since && is_due) {
            ++calm_requests;
            calm_served += is_success(entry.status) ? 1 : 0;
        }
    }
    const std::int64_t late = static_cast<std::int64_t>(late_requests.size());
    if (late >= NOISE_COUNT &&
        static_cast<double>(late) > MAX_LATE_SHARE * static_cast<double>(expected)) {
        add_violation("TIMEOUT",
                      std::to_string(late) + " of " + std::to_string(expected) +
                          " requests had no response in time; first: " + late_requests.front());
    }
    if (static_cast<double>(calm_served) < MIN_SERVED_SHARE * static_cast<double>(calm_requests)) {
        add_violation("RECOVER", std::to_string(calm_served) + " of " +
                                     std::to_string(calm_requests) +
                                     " requests were served after recovery");
    }
    if (static_cast<std::int64_t>(m_runs_after_disconnect.size()) > NOISE_COUNT) {
        add_violation("GONE", std::to_string(m_runs_after_disconnect.size()) +
                                  " runs started after the caller had disconnected; first: " +
                                  m_runs_after_disconnect.front());
    }
    check_extra_arrivals();
}

void SoakChecker::check_extra_arrivals() {
    for (const auto& [service, extra] : m_extra_arrivals) {
        const std::vector<Time>& sent = m_sent_requests[service];
        for (std::size_t last = 0; last < extra.size(); ++last) {
            const Time begin = extra[last] - m_bounds.retry_window;
            const std::int64_t arrivals =
                count_between(extra, begin + Duration(1), extra[last] + Duration(1));
            // Uses the largest count of three windows: this one and those that start half a window
            // and a whole window earlier.
            std::int64_t requests = 0;
            for (const Duration shift :
                 {Duration::zero(), m_bounds.retry_window / 2, m_bounds.retry_window}) {
                requests =
                    std::max(requests, count_between(sent, begin - shift, extra[last] - shift));
            }
            const double allowed = m_bounds.retry_ratio * static_cast<double>(requests) +
                                   static_cast<double>(m_bounds.retry_slack);
            if (static_cast<double>(arrivals) > allowed) {
                add_violation("BUDGET", std::to_string(arrivals) + " extra arrivals at service " +
                                            service + " for " + std::to_string(requests) +
                                            " requests");
                break;
            }
        }
    }
}

const std::vector<std::string>& SoakChecker::violations() const {
    return m_violations;
}

const SoakTotals& SoakChecker::totals() const {
    return m_totals;
}

}  // namespace soak
