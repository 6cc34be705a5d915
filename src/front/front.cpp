#include "front/front.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

#include "front/caller_request.h"
#include "io/http_status.h"
#include "io/log_event.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

/// How often timeouts, signals and leavings are looked at.
constexpr Duration HOUSEKEEPING_INTERVAL = from_ms(100);

/// Longest wait of one watch.
constexpr Duration WATCH_WAIT = from_ms(8000);

/// How often the list of nodes is read; it only changes when nodes are added.
constexpr Duration NODE_LIST_INTERVAL = from_ms(10000);

/// How often the settings file is compared, as it may change without a signal.
constexpr Duration SETTINGS_CHECK_INTERVAL = from_ms(2000);

/// Nodes that share the fleet's limits until the list of nodes is known. Too high a count only
/// makes a node's share smaller.
constexpr std::int64_t UNKNOWN_NODES = 100;

/// The balancer asks each second and takes a node out after two misses.
constexpr Duration BALANCER_NOTICE = from_ms(2500);

/// Left of the grace when the process ends although requests are open.
constexpr Duration STOP_MARGIN = from_ms(500);

/// Processor time of a part that comes near the end of a request: most of the 54 us that a
/// sub-request costs in all (docs/MEASUREMENTS.md).
constexpr Duration PART_TIME_OF_A_CORE = Duration(36);
constexpr double LEAST_CPU_SHARE = 0.05;

/// Used where the platform bounds no extra arrivals.
constexpr double DEFAULT_RETRY_RATIO = 0.1;

/// File descriptors kept for the store, listeners, files and connections to targets.
constexpr std::int64_t RESERVED_DESCRIPTORS = 1200;

/// Part of the time in which a change must be in force that may pass before the next is heard of.
/// The store's recent data, which is about a second old, and the grace of removed targets need
/// most of the rest.
constexpr double CHANGE_PAUSE_SHARE = 0.2;

constexpr Duration REGISTRATION_RETRY = from_ms(2000);

/// The store answers in milliseconds; a call that takes longer has met an outage.
constexpr Duration STORE_TIMEOUT = from_ms(1000);

Duration scaled(Duration duration, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
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
      m_started_at_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count()),
      m_settings_text(read_file(settings_file)) {
    m_state.on_crash = [this](std::uint64_t request) {
        report_crash(request);
    };
}

Front::~Front() {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->stop();
    }
}

Result<std::unique_ptr<Front>> Front::start(const platform::Settings& settings,
                                            const std::string& settings_file,
                                            std::int64_t metrics_port, FrontSignals& signals) {
    std::unique_ptr<Front> front(new Front(settings, settings_file, signals));
    const Result<Done> listening = front->listen(metrics_port);
    if (!has_value(listening)) {
        return error_of(listening);
    }
    front->split_fleet_limits();
    front->watch_store();
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
    options.max_connections = static_cast<std::size_t>(
        std::max<std::int64_t>(100, m_settings.max_open_files - RESERVED_DESCRIPTORS));
    Result<std::shared_ptr<HttpListener>> callers =
        HttpListener::listen(m_loop, m_settings.caller_address, options,
                             [this](const std::shared_ptr<HttpServerConnection>& connection,
                                    HttpRequestMessage request) {
                                 CallerRequest::serve(m_state, connection, std::move(request));
                             });
    if (!has_value(callers)) {
        return error_of(callers);
    }
    Result<std::shared_ptr<HttpListener>> ready = HttpListener::listen(
        m_loop, m_settings.ready_address, options,
        [this](const std::shared_ptr<HttpServerConnection>& connection,
               const HttpRequestMessage& request) { serve_ready(connection, request); });
    if (!has_value(ready)) {
        return error_of(ready);
    }
    m_callers = value_of(callers);
    m_ready = value_of(ready);
    Result<std::shared_ptr<HttpListener>> metrics = HttpListener::listen(
        m_loop, m_settings.ip + ":" + std::to_string(metrics_port), options,
        [this](const std::shared_ptr<HttpServerConnection>& connection,
               const HttpRequestMessage& request) { serve_metrics(connection, request); });
    if (has_value(metrics)) {
        m_metrics_listener = value_of(metrics);
    } else {
        // Callers are served without metrics; the node is not worth less for them.
        log_warning("front", describe(error_of(metrics)));
    }
    return Done{};
}

void Front::watch_store() {
    using Objects = std::vector<platform::StoredObject>;
    const auto add = [this](platform::Kind kind, Duration wait,
                            std::function<void(Objects, bool)> on_list,
                            std::function<void(Objects)> on_changes) {
        const bool is_probe = kind == platform::Kind::config;
        KindWatcherOptions options;
        options.kind = kind;
        options.store_address = m_settings.store_address;
        options.watch_wait = wait;
        options.poll_interval = NODE_LIST_INTERVAL;
        options.pause_after_changes = scaled(m_settings.config_apply, CHANGE_PAUSE_SHARE);
        options.is_probe = is_probe;
        const std::function<void()> on_recovered = is_probe ? [this] { on_store_recovered(); }
                                                            : std::function<void()>();
        m_watchers.push_back(KindWatcher::start(
            m_loop, options, {std::move(on_list), std::move(on_changes), on_recovered}, m_metrics));
    };
    add(
        platform::Kind::config, WATCH_WAIT,
        [this](const Objects& objects, bool /*after_outage*/) { take_config(objects); },
        [this](const Objects& objects) { take_config(objects); });
    add(
        platform::Kind::targets, WATCH_WAIT,
        [this](const Objects& objects, bool after_outage) {
            take_target_list(objects, after_outage);
        },
        [this](const Objects& objects) { take_target_changes(objects); });
    add(
        platform::Kind::evacuations, WATCH_WAIT,
        [this](const Objects& objects, bool /*after_outage*/) { take_evacuations(objects, true); },
        [this](const Objects& objects) { take_evacuations(objects, false); });
    add(
        platform::Kind::quarantine, WATCH_WAIT,
        [this](const Objects& objects, bool /*after_outage*/) { take_suspects(objects); },
        [this](const Objects& objects) { take_suspects(objects); });
    add(
        platform::Kind::nodes, Duration::zero(),
        [this](const Objects& objects, bool /*after_outage*/) { take_nodes(objects); },
        [](const Objects& /*objects*/) {});
}

void Front::on_store_recovered() {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->retry_now();
    }
}

void Front::take_config(const std::vector<platform::StoredObject>& objects) {
    for (const platform::StoredObject& object : objects) {
        if (object.name != platform::names::CONFIG_NAME || object.removed) {
            continue;
        }
        std::vector<std::string> warnings;
        Result<RouteTable> table = platform::decode_config(object.spec, warnings);
        for (const std::string& warning : warnings) {
            log_warning("config", warning);
        }
        if (!has_value(table)) {
            log_error("config", "kept the version in force: " + describe(error_of(table)));
            continue;
        }
        const std::int64_t version = value_of(table).version;
        if (m_table.has_value() && version <= m_table->version) {
            continue;
        }
        LogEvent(LogLevel::info, "config", "accepted")
            .add("version", version)
            .add("before", m_table.has_value() ? m_table->version : -1)
            .add("routes", static_cast<std::int64_t>(value_of(table).routes.size()))
            .add("revision", object.revision)
            .write();
        m_table = std::move(std::get<RouteTable>(table));
        apply_limits();
        rebuild_view();
    }
}

void Front::apply_limits() {
    HttpListenerOptions options;
    options.limits.max_header_bytes = m_table->limits.max_header_bytes;
    options.limits.max_body_bytes = m_table->limits.max_body_bytes;
    options.header_timeout = m_table->limits.header_timeout;
    options.idle_timeout = m_table->limits.idle_timeout;
    options.max_connections = static_cast<std::size_t>(
        std::max<std::int64_t>(100, m_settings.max_open_files - RESERVED_DESCRIPTORS));
    m_callers->set_options(options);
}

void Front::take_target_list(const std::vector<platform::StoredObject>& objects,
                             bool after_outage) {
    m_state.targets_heard = monotonic_now();
    std::vector<TargetEntry> entries;
    for (const platform::StoredObject& object : objects) {
        const Result<TargetEntry> entry = platform::decode_target(object.name, object.spec);
        if (object.deleting || object.removed) {
            continue;
        }
        if (has_value(entry)) {
            entries.push_back(value_of(entry));
        } else {
            log_warning("targets", "an entry is left out: " + describe(error_of(entry)));
        }
    }
    replace_all(m_registry, entries, after_outage, monotonic_now());
    LogEvent(LogLevel::info, "targets", "list")
        .add("entries", static_cast<std::int64_t>(entries.size()))
        .add("missing", static_cast<std::int64_t>(m_registry.missing.size()))
        .add("after_outage", after_outage ? "yes" : "no")
        .write();
    m_knows_targets = true;
    rebuild_view();
}

void Front::take_target_changes(const std::vector<platform::StoredObject>& objects) {
    const std::int64_t before = m_registry.generation;
    m_state.targets_heard = monotonic_now();
    for (const platform::StoredObject& object : objects) {
        if (object.removed || object.deleting) {
            remove(m_registry, object.name, monotonic_now());
            LogEvent(LogLevel::info, "targets", "entry_removed").add("target", object.name).write();
            continue;
        }
        const Result<TargetEntry> entry = platform::decode_target(object.name, object.spec);
        if (!has_value(entry)) {
            log_warning("targets", "a change is left out: " + describe(error_of(entry)));
            continue;
        }
        upsert(m_registry, value_of(entry));
        LogEvent(LogLevel::info, "targets", "entry")
            .add("target", object.name)
            .add("service", value_of(entry).service)
            .add("draining", value_of(entry).draining ? "yes" : "no")
            .add_ms("cold_ms", value_of(entry).cold_remaining)
            .add("revision", object.revision)
            .write();
    }
    if (m_registry.generation != before) {
        rebuild_view();
    }
}

void Front::take_evacuations(const std::vector<platform::StoredObject>& objects, bool is_list) {
    if (is_list) {
        m_out_of_service.clear();
    }
    for (const platform::StoredObject& object : objects) {
        if (object.removed || object.deleting) {
            m_out_of_service.erase(object.name);
        } else {
            m_out_of_service.insert(object.name);
        }
        LogEvent(LogLevel::info, "targets", "data_centre")
            .add("data_centre", object.name)
            .add("in_service", object.removed || object.deleting ? "yes" : "no")
            .add("revision", object.revision)
            .write();
    }
    m_knows_evacuations = true;
    rebuild_view();
}

void Front::take_nodes(const std::vector<platform::StoredObject>& objects) {
    const auto is_own = [this](const platform::StoredObject& object) {
        return object.name == m_settings.node;
    };
    m_registered = std::any_of(objects.begin(), objects.end(), is_own);
    const std::int64_t nodes = static_cast<std::int64_t>(objects.size()) + (m_registered ? 0 : 1);
    if (nodes != m_nodes) {
        LogEvent(LogLevel::info, "front", "nodes")
            .add("nodes", nodes)
            .add("before", m_nodes)
            .write();
    }
    m_nodes = nodes;
    split_fleet_limits();
}

void Front::split_fleet_limits() {
    const std::int64_t nodes = m_nodes > 0 ? m_nodes : UNKNOWN_NODES;
    m_state.targets.nodes = nodes;
    m_state.targets.own_data_centre = m_settings.data_centre;
    m_state.targets.own_region = m_settings.region;
    m_state.targets.cold_overrun = m_settings.cold_overrun;
    m_state.targets.cold_slack = m_settings.cold_slack;
    const double ratio =
        m_settings.retry_ratio > 0.0 ? m_settings.retry_ratio : DEFAULT_RETRY_RATIO;
    m_state.part_time =
        scaled(PART_TIME_OF_A_CORE, 1.0 / std::max(m_settings.cpu_share, LEAST_CPU_SHARE));
    m_state.extra_load =
        share_of_bound(ratio, m_settings.retry_slack, m_settings.retry_window, nodes);
}

void Front::take_suspects(const std::vector<platform::StoredObject>& objects) {
    for (const platform::StoredObject& object : objects) {
        const std::optional<CrashReport> report = parse_crash_report(object.name);
        if (object.removed || !report.has_value() || report->node == m_settings.node) {
            continue;
        }
        // A list names crashes that changes have told before; each report counts once.
        if (m_known_reports.insert(object.name).second) {
            add_crashes(m_state.quarantine, report->request, 1, monotonic_now());
        }
    }
}

void Front::report_crash(std::uint64_t request) {
    add_crashes(m_state.quarantine, request, 1, monotonic_now());
    const std::string name =
        crash_report_name({request, m_settings.node, m_started_at_ms, ++m_crash_reports});
    LogEvent(LogLevel::warning, "quarantine", "crash").add("report", name).write();
    create_object(platform::Kind::quarantine, name, [](CallEnd, const HttpAnswerMessage&) {});
}

void Front::rebuild_view() {
    if (!m_table.has_value() || !m_knows_targets || !m_knows_evacuations || m_view_is_old) {
        return;
    }
    m_view_is_old = true;
    // Several changes often come together; one view is made for all.
    m_loop.post([this] {
        m_view_is_old = false;
        const FleetInputs inputs{*m_table, m_registry, m_out_of_service, m_settings.regions};
        m_state.view = make_view(inputs, m_state.services, m_state.targets, monotonic_now());
        m_state.budgets.resize(m_state.services.size());
        m_state.registry_generation = m_registry.generation;
    });
}

bool Front::is_ready() const {
    return m_state.view != nullptr && !m_stopping_since.has_value();
}

void Front::serve_ready(const std::shared_ptr<HttpServerConnection>& connection,
                        const HttpRequestMessage& request) const {
    if (!platform::is_readiness_call(request)) {
        connection->respond(
            platform::own_answer(http::NOT_FOUND, "", "unknown path", Duration::zero()));
        return;
    }
    const int status = is_ready() ? http::OK : http::UNAVAILABLE;
    connection->respond(platform::own_answer(
        status, "", is_ready() ? "takes requests" : "takes no new requests", Duration::zero()));
}

void Front::serve_metrics(const std::shared_ptr<HttpServerConnection>& connection,
                          const HttpRequestMessage& /*request*/) const {
    HttpAnswerMessage answer;
    answer.status = http::OK;
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.body = m_metrics.text();
    connection->respond(std::move(answer));
}

void Front::create_object(platform::Kind kind, const std::string& name,
                          std::function<void(CallEnd, const HttpAnswerMessage&)> on_end) {
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(m_loop, m_settings.store_address, [](HttpChannel&) {});
    if (channel == nullptr) {
        on_end(CallEnd::not_sent, HttpAnswerMessage{});
        return;
    }
    const std::weak_ptr<HttpChannel> weak = channel;
    m_loop.run_at(monotonic_now() + STORE_TIMEOUT, [weak] {
        const std::shared_ptr<HttpChannel> open = weak.lock();
        if (open != nullptr) {
            open->close();
        }
    });
    ChannelCall call;
    call.make_request = [kind, name, address = m_settings.store_address] {
        const HttpHeaders headers = {{"Host", address}, {"Content-Type", "application/json"}};
        return encode(HttpRequestMessage{"POST", platform::create_path(kind), headers,
                                         platform::create_body(name, ""), false});
    };
    call.is_mine = [](const HttpAnswerMessage&) {
        return true;
    };
    call.on_began = [] {
    };
    call.on_end = std::move(on_end);
    channel->start(std::move(call));
}

void Front::register_node() {
    m_next_registration = monotonic_now() + REGISTRATION_RETRY;
    create_object(platform::Kind::nodes, m_settings.node,
                  [this](CallEnd end, const HttpAnswerMessage& answer) {
                      const bool is_there = answer.status == http::OK ||
                                            answer.status == http::CREATED ||
                                            answer.status == http::CONFLICT;
                      m_registered = end == CallEnd::answered && is_there;
                      LogEvent(LogLevel::info, "front", "registered")
                          .add("outcome", name_of(end))
                          .add("status", answer.status)
                          .write();
                  });
}

void Front::housekeep() {
    const Time now = monotonic_now();
    m_callers->sweep(now);
    m_ready->sweep(now);
    if (m_metrics_listener != nullptr) {
        m_metrics_listener->sweep(now);
    }
    m_state.pool.sweep(now);
    for (const std::string& id : expire_missing(m_registry, now)) {
        LogEvent(LogLevel::info, "targets", "gone").add("target", id).write();
        rebuild_view();
    }
    if (!m_registered && now >= m_next_registration) {
        register_node();
    }
    forget_old_suspects(m_state.quarantine, now);
    if (m_signals.reload.exchange(false) || now >= m_next_settings_check) {
        m_next_settings_check = now + SETTINGS_CHECK_INTERVAL;
        reload_settings();
    }
    if (m_signals.stop && !m_stopping_since.has_value()) {
        begin_stop();
    }
    if (m_stopping_since.has_value()) {
        continue_stop(now);
    }
    flush_log();
    m_loop.run_at(now + HOUSEKEEPING_INTERVAL, [this] { housekeep(); });
}

void Front::reload_settings() {
    const std::string text = read_file(m_settings_file);
    if (text == m_settings_text) {
        return;
    }
    m_settings_text = text;
    const Result<platform::Settings> settings = platform::parse_settings(text, m_settings_file);
    if (!has_value(settings)) {
        log_error("front", "kept the settings in force: " + describe(error_of(settings)));
        return;
    }
    // Addresses stay until the next start: callers and the balancer know them.
    platform::Settings changed = value_of(settings);
    changed.caller_address = m_settings.caller_address;
    changed.ready_address = m_settings.ready_address;
    changed.store_address = m_settings.store_address;
    LogEvent(LogLevel::info, "front", "reloaded")
        .add("changed", changed == m_settings ? "no" : "yes")
        .write();
    m_settings = changed;
    split_fleet_limits();
}

void Front::begin_stop() {
    m_stopping_since = monotonic_now();
    m_callers->close_after_answers();
    LogEvent(LogLevel::info, "front", "stopping")
        .add("connections", static_cast<std::int64_t>(m_callers->connections()))
        .add("busy", static_cast<std::int64_t>(m_callers->busy_connections()))
        .write();
}

void Front::continue_stop(Time now) {
    const Duration stopping = now - *m_stopping_since;
    if (stopping < BALANCER_NOTICE) {
        return;
    }
    m_callers->close_idle();
    const bool out_of_time = stopping >= m_settings.grace - STOP_MARGIN;
    if (m_callers->connections() == 0 || out_of_time) {
        LogEvent(LogLevel::info, "front", "stopped")
            .add("busy", static_cast<std::int64_t>(m_callers->busy_connections()))
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
