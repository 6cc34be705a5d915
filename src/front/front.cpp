#include "front/front.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "front/request_handler.h"
#include "io/exception_guard.h"
#include "io/http_status.h"
#include "io/log_event.h"
#include "policy/descriptor_shares.h"

namespace ebonymount {
namespace {

/// Interval between checks of timeouts, signals and the progress of a shutdown.
constexpr Duration HOUSEKEEPING_INTERVAL = from_ms(100);

/// A housekeeping that is later than this is logged: the process was not running, or its loop was
/// busy with something else.
constexpr Duration REPORTED_STALL = from_ms(250);

/// Least time between two lines about limits that callers have met.
constexpr Duration LIMIT_REPORT_INTERVAL = from_ms(1000);

/// How often the settings file is checked for changes, as it may change without a signal.
constexpr Duration SETTINGS_CHECK_INTERVAL = from_ms(2000);

/// Assumed number of nodes that share the fleet's limits until the list of nodes is known. A number
/// that is too high only makes each node's share smaller.
constexpr std::int64_t ASSUMED_NODES = 100;

/// Time until the load balancer stops sending requests: it checks readiness every second and
/// removes a node after two failed checks.
constexpr Duration BALANCER_REACTION_TIME = from_ms(2500);

/// A stopping node accepts connections for this part of the grace period, as the load balancer may
/// have no better node to send them to. The rest is left for the requests that it has read.
constexpr double ACCEPTING_SHARE = 0.5;

/// Requests that are still open this long before the grace period ends are answered then, and the
/// process exits soon after, so that the responses leave before it is killed.
constexpr Duration ANSWER_MARGIN = from_ms(500);
constexpr Duration EXIT_MARGIN = from_ms(300);

/// CPU time on a full core to process a part that arrives near the end of a request: most of the 54
/// us that a sub-request costs in total (docs/MEASUREMENTS.md).
constexpr Duration PART_CPU_TIME = Duration(36);
constexpr double MIN_CPU_SHARE = 0.05;

/// Hedges and retries per request if the platform sets no bound on extra arrivals.
constexpr double DEFAULT_RETRY_RATIO = 0.1;
constexpr std::int64_t DEFAULT_RETRY_SLACK_PER_NODE = 2;

/// A request that takes longer than the longest time limit cannot be served any more.
Duration longest_timeout(const RouteTable& table) {
    Duration longest{};
    for (const Route& route : table.routes) {
        longest = std::max(longest, route.timeout);
    }
    return longest;
}

/// Memory that may be held for callers. Refusals and small messages need some in any case.
std::int64_t caller_memory_bytes(const platform::Settings& settings) {
    constexpr double BYTES_PER_MB = 1048576.0;
    constexpr std::int64_t MIN_BYTES = 4194304;
    const double bytes = static_cast<double>(settings.memory_mb) * BYTES_PER_MB *
                         std::min(settings.caller_memory_share, 1.0);
    return std::max(MIN_BYTES, static_cast<std::int64_t>(bytes));
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace

Front::Front(const platform::Settings& settings, const std::string& settings_file,
             FrontSignals& signals)
    : m_settings(settings),
      m_settings_file(settings_file),
      m_signals(signals),
      m_loop(LoopThread::caller),
      m_state(m_loop, m_metrics),
      m_settings_text(read_file(settings_file)) {}

Front::~Front() = default;

Result<std::unique_ptr<Front>> Front::start(const platform::Settings& settings,
                                            const std::string& settings_file,
                                            std::int64_t metrics_port, FrontSignals& signals) {
    std::unique_ptr<Front> front(new Front(settings, settings_file, signals));
    const Result<Done> listening = front->listen(metrics_port);
    if (!has_value(listening)) {
        return error_of(listening);
    }
    front->split_fleet_limits();
    front->start_fleet_watcher();
    LogEvent(LogLevel::info, "front", "started")
        .add("node", settings.node)
        .add("data_centre", settings.data_centre)
        .add("callers", settings.caller_address)
        .add("store", settings.store_address)
        .write();
    return front;
}

Result<Done> Front::listen(std::int64_t metrics_port) {
    HttpListenerOptions options;
    options.memory = m_state.memory;
    Result<std::shared_ptr<HttpListener>> callers =
        HttpListener::listen(m_loop, m_settings.caller_address, options,
                             [this](const std::shared_ptr<HttpServerConnection>& connection,
                                    HttpRequestMessage request) {
                                 RequestHandler::serve(m_state, connection, std::move(request));
                             });
    if (!has_value(callers)) {
        return error_of(callers);
    }
    Result<std::shared_ptr<HttpListener>> ready = HttpListener::listen(
        m_loop, m_settings.ready_address, options,
        [this](const std::shared_ptr<HttpServerConnection>& connection,
               const HttpRequestMessage& request) { serve_readiness(connection, request); });
    if (!has_value(ready)) {
        return error_of(ready);
    }
    m_caller_listener = value_of(callers);
    m_ready_listener = value_of(ready);
    Result<std::shared_ptr<HttpListener>> metrics = HttpListener::listen(
        m_loop, m_settings.ip + ":" + std::to_string(metrics_port), options,
        [this](const std::shared_ptr<HttpServerConnection>& connection,
               const HttpRequestMessage& request) { serve_metrics(connection, request); });
    if (has_value(metrics)) {
        m_metrics_listener = value_of(metrics);
    } else {
        // Metrics are optional: the node serves callers without them.
        log_warning("front", describe(error_of(metrics)));
    }
    apply_machine_limits();
    return Done{};
}

void Front::start_fleet_watcher() {
    StoreFeedOptions feed;
    feed.self = {m_settings.node, m_settings.data_centre, m_settings.peer_address};
    feed.store_address = m_settings.store_address;
    feed.initial_peers = m_settings.initial_peers;
    feed.config_apply = m_settings.config_apply;
    feed.drain = m_settings.drain;
    feed.evacuate = m_settings.evacuate;
    feed.stable_window = m_settings.stable_window;
    feed.first_start = m_settings.first_start;
    const FleetWatcherOptions options{feed, m_settings.regions};
    m_fleet_watcher = std::make_unique<FleetWatcher>(
        m_state, options,
        FleetWatcherHandlers{[this](const RouteTable& table) { apply_caller_limits(table); },
                             [this](const std::vector<std::string>& names) {
                                 m_node_names = names;
                                 split_fleet_limits();
                             }});
}

void Front::apply_caller_limits(const RouteTable& table) {
    const CallerLimits& limits = table.limits;
    HttpListenerOptions options;
    options.memory = m_state.memory;
    options.limits.max_header_bytes = limits.max_header_bytes;
    options.limits.max_body_bytes = limits.max_body_bytes;
    options.header_timeout = limits.header_timeout;
    options.idle_timeout = limits.idle_timeout;
    options.request_timeout = m_settings.caller_request_timeout > Duration::zero()
                                  ? m_settings.caller_request_timeout
                                  : limits.header_timeout + longest_timeout(table);
    options.max_connections = share_descriptors(m_settings.max_open_files).callers;
    m_caller_listener->set_options(options);
}

void Front::apply_machine_limits() {
    m_state.memory->set_limit(caller_memory_bytes(m_settings));
    const DescriptorShares shares = share_descriptors(m_settings.max_open_files);
    m_caller_listener->set_max_connections(shares.callers);
    m_ready_listener->set_max_connections(shares.readiness);
    if (m_metrics_listener != nullptr) {
        m_metrics_listener->set_max_connections(shares.metrics);
    }
    m_state.pool.set_max_connections(shares.targets);
}

void Front::split_fleet_limits() {
    const std::int64_t nodes =
        m_node_names.empty() ? ASSUMED_NODES : static_cast<std::int64_t>(m_node_names.size());
    m_state.targets.group.count = nodes;
    m_state.targets.group.names = m_node_names;
    m_state.targets.group.self = m_settings.node;
    ++m_state.targets.group.generation;
    m_state.targets.own_data_centre = m_settings.data_centre;
    m_state.targets.own_region = m_settings.region;
    m_state.targets.cold_overrun = m_settings.cold_overrun;
    m_state.targets.cold_slack = m_settings.cold_slack;
    const bool has_bound = m_settings.retry_ratio > 0.0 || m_settings.retry_slack > 0;
    const double ratio =
        m_settings.retry_ratio > 0.0 ? m_settings.retry_ratio : DEFAULT_RETRY_RATIO;
    const std::int64_t slack =
        has_bound ? m_settings.retry_slack : DEFAULT_RETRY_SLACK_PER_NODE * nodes;
    m_state.part_cpu_time =
        scaled(PART_CPU_TIME, 1.0 / std::max(m_settings.cpu_share, MIN_CPU_SHARE));
    m_state.max_signature_bytes = static_cast<std::size_t>(m_settings.max_signature_bytes);
    m_state.retry_budget = node_share_of_budget(ratio, slack, m_settings.retry_window, nodes);
}

bool Front::is_ready() const {
    return m_state.view != nullptr && !m_stopping_since.has_value();
}

void Front::serve_readiness(const std::shared_ptr<HttpServerConnection>& connection,
                            const HttpRequestMessage& request) const {
    if (!platform::is_readiness_call(request)) {
        connection->respond(
            platform::local_response(http::NOT_FOUND, "", "unknown path", Duration::zero()));
        return;
    }
    const int status = is_ready() ? http::OK : http::UNAVAILABLE;
    connection->respond(platform::local_response(
        status, "", is_ready() ? "accepts requests" : "accepts no new requests", Duration::zero()));
}

void Front::serve_metrics(const std::shared_ptr<HttpServerConnection>& connection,
                          const HttpRequestMessage& /*request*/) {
    const HttpListenerCounts& counts = m_caller_listener->counts();
    const HttpListenerCounts all = counts_of_all_listeners();
    m_metrics.counter("ebonymount_front_connections_accepted_total") = counts.accepted;
    m_metrics.counter("ebonymount_front_connections_over_limit_total") = all.refused_over_limit;
    m_metrics.counter("ebonymount_front_connections_evicted_total") = all.evicted;
    m_metrics.counter("ebonymount_front_accepts_failed_total") = all.failed_accepts;
    m_metrics.counter("ebonymount_front_malformed_requests_total") = counts.malformed;
    m_metrics.counter("ebonymount_front_stalled_requests_total") = counts.timed_out;
    m_metrics.counter("ebonymount_front_target_connections_total") =
        m_state.pool.opened_connections();
    m_metrics.counter("ebonymount_front_caller_memory_bytes") = m_state.memory->held_bytes();
    m_metrics.counter("ebonymount_front_caller_memory_releases_total") = m_state.memory->releases();
    m_metrics.counter("ebonymount_front_target_connections_refused_total") =
        m_state.pool.refused_connections();
    m_metrics.counter("ebonymount_log_lines_dropped_total") = dropped_log_lines();
    m_metrics.counter("ebonymount_exceptions_total") = caught_exceptions();
    HttpResponseMessage response;
    response.status = http::OK;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = m_metrics.text();
    connection->respond(std::move(response));
}

void Front::housekeep() {
    const Time now = monotonic_now();
    // Each part runs whatever becomes of the others: without the last ones the node would never
    // stop.
    run_guarded("front", [this, now] { report_stall(now); });
    run_guarded("front", [this, now] { sweep(now); });
    run_guarded("front", [this, now] { check_settings(now); });
    run_guarded("front", [this, now] {
        if (m_signals.stop && !m_stopping_since.has_value()) {
            begin_stop();
        }
        if (m_stopping_since.has_value()) {
            continue_stop(now);
        }
    });
    run_guarded("front", [] { flush_log(); });
    m_next_housekeeping = now + HOUSEKEEPING_INTERVAL;
    m_loop.run_at(m_next_housekeeping, [this] { housekeep(); });
}

void Front::sweep(Time now) {
    for (const std::shared_ptr<HttpListener>& listener :
         {m_caller_listener, m_ready_listener, m_metrics_listener}) {
        if (listener != nullptr) {
            listener->sweep(now);
        }
    }
    report_client_limits(now);
    m_state.pool.sweep(now);
    m_fleet_watcher->sweep(now);
}

void Front::check_settings(Time now) {
    const bool requested = m_signals.reload.exchange(false);
    if (requested || now >= m_next_settings_check) {
        m_next_settings_check = now + SETTINGS_CHECK_INTERVAL;
        reload_settings(requested);
    }
}

void Front::report_stall(Time now) {
    if (m_next_housekeeping != Time{} && now > m_next_housekeeping + REPORTED_STALL) {
        ++m_metrics.counter("ebonymount_front_stalls_total");
        LogEvent(LogLevel::warning, "front", "stalled")
            .add_ms("ms", now - m_next_housekeeping)
            .write();
    }
}

HttpListenerCounts Front::counts_of_all_listeners() const {
    HttpListenerCounts sum;
    for (const std::shared_ptr<HttpListener>& listener :
         {m_caller_listener, m_ready_listener, m_metrics_listener}) {
        if (listener != nullptr) {
            sum += listener->counts();
        }
    }
    return sum;
}

void Front::report_client_limits(Time now) {
    if (now < m_next_limit_report) {
        return;
    }
    m_next_limit_report = now + LIMIT_REPORT_INTERVAL;
    const HttpListenerCounts listeners = counts_of_all_listeners();
    const ClientLimitCounts counts{
        m_state.memory->releases(), listeners.evicted,   listeners.refused_over_limit,
        listeners.failed_accepts,   listeners.timed_out, m_state.pool.refused_connections()};
    if (counts != m_reported_limits) {
        LogEvent(LogLevel::warning, "front", "client_limits")
            .add("memory_releases", counts.memory_releases - m_reported_limits.memory_releases)
            .add("memory_bytes", m_state.memory->held_bytes())
            .add("evicted", counts.evicted - m_reported_limits.evicted)
            .add("refused", counts.refused - m_reported_limits.refused)
            .add("failed_accepts", counts.failed_accepts - m_reported_limits.failed_accepts)
            .add("timed_out", counts.timed_out - m_reported_limits.timed_out)
            .add("refused_to_targets",
                 counts.refused_to_targets - m_reported_limits.refused_to_targets)
            .add("to_targets", static_cast<std::int64_t>(m_state.pool.connections()))
            .add("connections", static_cast<std::int64_t>(m_caller_listener->connections()))
            .write();
        m_reported_limits = counts;
    }
}

void Front::reload_settings(bool requested) {
    const std::string text = read_file(m_settings_file);
    if (text == m_settings_text) {
        if (requested) {
            LogEvent(LogLevel::info, "front", "reloaded").add("changed", "no").write();
        }
        return;
    }
    m_settings_text = text;
    const Result<platform::ParsedSettings> parsed =
        platform::parse_settings(text, m_settings_file, m_settings);
    if (!has_value(parsed)) {
        log_error("front",
                  "invalid settings, keeping the current ones: " + describe(error_of(parsed)));
        return;
    }
    for (const std::string& warning : value_of(parsed).warnings) {
        log_warning("front", warning);
    }
    // Addresses change only on restart, because callers and the load balancer use them.
    platform::Settings reloaded = value_of(parsed).settings;
    reloaded.caller_address = m_settings.caller_address;
    reloaded.ready_address = m_settings.ready_address;
    reloaded.store_address = m_settings.store_address;
    LogEvent(LogLevel::info, "front", "reloaded")
        .add("changed", reloaded == m_settings ? "no" : "yes")
        .write();
    m_settings = reloaded;
    apply_machine_limits();
    split_fleet_limits();
}

void Front::begin_stop() {
    m_stopping_since = monotonic_now();
    m_caller_listener->close_after_responses();
    RequestHandler::end_all_by(m_state, *m_stopping_since + m_settings.grace - ANSWER_MARGIN);
    LogEvent(LogLevel::info, "front", "stopping")
        .add("connections", static_cast<std::int64_t>(m_caller_listener->connections()))
        .add("busy", static_cast<std::int64_t>(m_caller_listener->busy_connections()))
        .write();
}

void Front::continue_stop(Time now) {
    const Duration stopping = now - *m_stopping_since;
    if (stopping >= scaled(m_settings.grace, ACCEPTING_SHARE)) {
        m_caller_listener->stop_accepting();
    }
    if (stopping < BALANCER_REACTION_TIME) {
        return;
    }
    m_caller_listener->close_idle();
    const bool out_of_time = stopping >= m_settings.grace - EXIT_MARGIN;
    if (m_caller_listener->connections() == 0 || out_of_time) {
        LogEvent(LogLevel::info, "front", "stopped")
            .add("busy", static_cast<std::int64_t>(m_caller_listener->busy_connections()))
            .add_ms("after_ms", stopping)
            .write();
        m_loop.stop();
    }
}

void Front::run() {
    housekeep();
    m_loop.run();
    flush_log();
}

}  // namespace ebonymount
