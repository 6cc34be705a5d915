#include "soak_environment.h"

#include <array>
#include <csignal>
#include <fstream>

#include "platform/names.h"

namespace soak {

using ebonymount::from_ms;
using ebonymount::HttpRequestMessage;
using ebonymount::monotonic_now;
using ebonymount::uniform;
using Json = nlohmann::json;
namespace names = ebonymount::platform::names;

namespace {

/// Warm-up in which the nodes read the store, before traffic and faults.
constexpr Duration WARM_UP = from_ms(3000);
/// Time after the fault phase until requests must be served again.
constexpr Duration RECOVERY = from_ms(12000);
/// Final phase, in which most requests must be served.
constexpr Duration CALM = from_ms(3000);

constexpr std::size_t SHARDS = 6;
constexpr std::size_t SHARDS_AFTER_REPARTITION = 8;
constexpr std::size_t REPLICAS = 3;
const std::array<const char*, REPLICAS> DATA_CENTRES = {"east", "north", "west"};

constexpr double DEFAULT_DELAY_MS = 1.0;
constexpr double DEFAULT_JITTER_MS = 0.5;

/// A stall of the soak itself counts as a disturbance of the store, and so of every node.
constexpr Duration STALL_CHECK_INTERVAL = from_ms(100);
constexpr Duration STALL_THRESHOLD = from_ms(300);

/// Time after its start in which a program may not have installed its signal handlers yet.
constexpr Duration STARTUP_TIME = from_ms(1000);

constexpr Duration WATCH_INTERVAL = from_ms(50);

/// Number of blocks of addresses for each kind of endpoint, and of addresses in a block.
constexpr std::size_t ADDRESS_BLOCKS = 16;
constexpr std::size_t ADDRESS_BLOCK = 250;

std::string region_of(const std::string& data_centre) {
    return "region-" + data_centre;
}

std::string idle_service_name(std::size_t service) {
    return "idle-" + std::to_string(service);
}

Json target_json(const standin::PlatformTargetParameters& parameters, const std::string& address,
                 const std::string& state) {
    return {{"service", parameters.service},
            {"address", address},
            {"zone", parameters.data_centre},
            {"version", "v1"},
            {"max_concurrency", parameters.slots},
            {"state", state},
            {"cold_remaining_ms", 0},
            {"sequence", 1}};
}

Json service_json(const std::string& name, std::size_t max_connections) {
    return {{"name", name},
            {"health_path", "/health"},
            {"max_connections", max_connections},
            {"cold_start_s", 1.0},
            {"cold_per_s", 0.0}};
}

Json route_json(const SoakRoute& route) {
    Json row = {{"name", route.name},
                {"hostname", "soak.example"},
                {"path_prefix", "/" + route.name + "/"},
                {"type", route.idempotent ? "idempotent" : "non_idempotent"},
                {"timeout_ms", route.timeout.count() / 1000},
                {"target_latency_ms", 150},
                {"priority", 1},
                {"max_attempts", route.max_attempts},
                {"allowed_regions", route.regions}};
    if (route.fan_out) {
        row["fanout_services"] = route.services;
        row["top_k"] = route.top_k;
        row["min_success_share"] = route.min_coverage;
    } else {
        row["service"] = route.services.front();
    }
    return row;
}

SoakTarget identity_of(const standin::PlatformTarget& target) {
    const standin::PlatformTargetParameters& parameters = target.parameters();
    return {parameters.id, parameters.service, parameters.data_centre,
            region_of(parameters.data_centre)};
}

}  // namespace

SoakEnvironment::SoakEnvironment(const SoakOptions& options)
    : m_options(options),
      m_loop(ebonymount::LoopThread::caller),
      m_random(options.seed),
      m_checker(m_bounds),
      m_rate_per_s(options.rate_per_s) {
    m_store =
        std::make_unique<standin::PlatformStore>(m_loop, address(STORE, 1, PORT), options.seed);
    make_targets();
    register_idle_targets();
    make_nodes();
}

SoakEnvironment::~SoakEnvironment() = default;

std::string SoakEnvironment::address(int endpoint_kind, std::size_t host, int port) const {
    const std::size_t third =
        static_cast<std::size_t>(endpoint_kind) * ADDRESS_BLOCKS + (host - 1) / ADDRESS_BLOCK;
    const std::string text = "127." + std::to_string(m_options.instance) + "." +
                             std::to_string(third) + "." +
                             std::to_string(1 + (host - 1) % ADDRESS_BLOCK);
    return port == 0 ? text : text + ":" + std::to_string(port);
}

void SoakEnvironment::run_after(Duration delay, std::function<void()> callback) {
    m_loop.run_at(monotonic_now() + delay, std::move(callback));
}

const SoakChecker& SoakEnvironment::run(const std::vector<SoakStep>& plan) {
    publish_config();
    for (const std::unique_ptr<Node>& node : m_nodes) {
        start_node(*node);
        check_readiness(*node);
    }
    measure_stalls();
    watch_nodes();
    run_after(WARM_UP, [this] {
        m_generating_traffic = true;
        generate_traffic();
    });
    for (const SoakStep& step : plan) {
        run_after(WARM_UP + step.at, [this, step] { apply(step); });
    }
    const Time calm_since = monotonic_now() + WARM_UP + m_options.fault_phase + RECOVERY;
    run_after(WARM_UP + m_options.fault_phase + RECOVERY + CALM, [this] {
        m_generating_traffic = false;
        m_ending = true;
        // Gives open requests time to end.
        run_after(from_ms(2500), [this] { stop_all(); });
    });
    m_loop.run();
    m_checker.finish(calm_since, monotonic_now());
    return m_checker;
}

void SoakEnvironment::make_targets() {
    const auto add_target = [this](const std::string& service, std::size_t replica,
                                   Duration service_time) {
        std::unique_ptr<TargetSlot> slot = std::make_unique<TargetSlot>();
        const std::size_t host = m_slots.size() + 1;
        slot->host = host;
        slot->parameters.service = service;
        slot->parameters.data_centre = DATA_CENTRES.at(replica % DATA_CENTRES.size());
        slot->parameters.address = address(TARGETS, host, PORT);
        slot->parameters.service_time = service_time;
        slot->parameters.max_connections = 10 * m_options.nodes;
        slot->link = standin::Link::open(
            m_loop, {"target-" + std::to_string(host), address(TARGET_LINKS, host, PORT),
                     slot->parameters.address, DEFAULT_DELAY_MS, DEFAULT_JITTER_MS});
        open_target(*slot);
        register_target(*slot, "ready");
        m_slots.push_back(std::move(slot));
    };
    for (std::size_t replica = 0; replica < REPLICAS; ++replica) {
        for (std::size_t shard = 0; shard < SHARDS; ++shard) {
            add_target("catalogue-" + std::to_string(shard), replica, from_ms(6));
        }
        for (std::size_t shard = 0; shard < SHARDS_AFTER_REPARTITION; ++shard) {
            add_target("members-" + std::to_string(shard), replica, from_ms(6));
        }
        for (const char* service : {"booking", "booking", "awards", "awards"}) {
            add_target(service, replica, from_ms(30));
        }
    }
}

void SoakEnvironment::register_idle_targets() {
    std::size_t host = 0;
    for (std::size_t service = 0; service < m_options.idle_services; ++service) {
        for (const char* data_centre : DATA_CENTRES) {
            standin::PlatformTargetParameters parameters;
            parameters.service = idle_service_name(service);
            parameters.data_centre = data_centre;
            const std::string name = parameters.service + "-" + data_centre;
            m_store->put(names::TARGETS_KIND, name,
                         target_json(parameters, address(IDLE_TARGETS, ++host, PORT), "ready"));
        }
    }
}

void SoakEnvironment::open_target(TargetSlot& slot) {
    slot.parameters.id = "t-" + std::to_string(m_next_id++);
    standin::PlatformTargetObserver observer;
    observer.on_arrival = [this](const standin::PlatformTarget& target,
                                 const HttpRequestMessage& request) {
        SoakRequest arrived;
        arrived.id = std::string(find_header(request.headers, names::REQUEST_ID));
        arrived.method = request.method;
        arrived.path = request.target;
        arrived.body = request.body;
        m_checker.on_arrival(identity_of(target), arrived, monotonic_now());
    };
    observer.on_run = [this](const standin::PlatformTarget& target, const std::string& request) {
        m_checker.on_run(identity_of(target), request, monotonic_now());
    };
    observer.on_response = [this](const standin::PlatformTarget& target, const std::string& request,
                                  const std::string& signature, const std::string& body,
                                  bool success) {
        m_checker.on_target_response(identity_of(target), request, signature, body, success);
    };
    observer.on_cancelled = [](const std::string& /*request*/) {
    };
    slot.target = standin::PlatformTarget::open(m_loop, slot.parameters, observer);
}

void SoakEnvironment::register_target(TargetSlot& slot, const std::string& state) {
    slot.registered = true;
    m_store->put(names::TARGETS_KIND, slot.parameters.id, entry_of(slot, state));
}

Json SoakEnvironment::entry_of(const TargetSlot& slot, const std::string& state) const {
    return target_json(slot.parameters, address(TARGET_LINKS, slot.host, PORT), state);
}

void SoakEnvironment::unregister_target(TargetSlot& slot) {
    if (slot.registered) {
        slot.registered = false;
        m_store->remove(names::TARGETS_KIND, slot.parameters.id);
        m_checker.on_target_leaving(slot.parameters.id, monotonic_now());
    }
}

void SoakEnvironment::make_nodes() {
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        std::unique_ptr<Node> node = std::make_unique<Node>();
        node->host = static_cast<int>(i) + 1;
        node->name = "node-" + std::to_string(node->host);
        node->data_centre = DATA_CENTRES.at(i % DATA_CENTRES.size());
        node->settings_file = m_options.directory + "/" + node->name + ".conf";
        node->log_file = m_options.directory + "/" + node->name + ".log";
        node->caller_link = standin::Link::open(
            m_loop, {node->name + "-callers", address(CALLER_LINKS, i + 1, PORT),
                     address(NODES, i + 1, PORT), DEFAULT_DELAY_MS, DEFAULT_JITTER_MS});
        node->store_link = standin::Link::open(
            m_loop, {node->name + "-store", address(STORE_LINKS, i + 1, PORT),
                     address(STORE, 1, PORT), DEFAULT_DELAY_MS, DEFAULT_JITTER_MS});
        m_nodes.push_back(std::move(node));
    }
}

void SoakEnvironment::write_settings(Node& node) const {
    const std::size_t host = static_cast<std::size_t>(node.host);
    std::ofstream file(node.settings_file);
    file << "node=" << node.name << "\nip=" << address(NODES, host, 0)
         << "\nzone=" << node.data_centre << "\nregion=" << region_of(node.data_centre) << "\n";
    for (const char* data_centre : DATA_CENTRES) {
        file << "zones." << data_centre << "=" << region_of(data_centre) << "\n";
    }
    file << "bind_addresses.front=" << address(NODES, host, PORT)
         << "\nbind_addresses.ready=" << address(NODES, host, READY_PORT)
         << "\nplatform.address=" << address(STORE_LINKS, host, PORT)
         << "\nbind_addresses.control=" << address(NODES, host, PEER_PORT)
         << "\nseeds=" << address(NODES, 1, PEER_PORT) << "," << address(NODES, 2, PEER_PORT)
         << "\nbounds.stable_window_ms=" << m_bounds.stable_window.count() / 1000
         << "\nlimits.cpu_share=1\nlimits.max_open_files=4096\nbounds.grace_s="
         << m_bounds.grace.count() / from_ms(1000).count()
         << "\nbounds.config_apply_ms=" << m_bounds.config_apply.count() / 1000
         << "\nbounds.retry_budget_ratio=" << m_bounds.retry_ratio
         << "\nbounds.budget_slack=" << m_bounds.retry_slack
         << "\nbounds.budget_window_s=" << m_bounds.retry_window.count() / from_ms(1000).count()
         << "\nbounds.cold_over=1.5\nbounds.cold_slack=5\nrevision=" << node.revision << "\n";
}

void SoakEnvironment::start_node(Node& node) {
    write_settings(node);
    node.stopping = false;
    node.killed = false;
    node.missed_checks = 0;
    node.started_at = monotonic_now();
    m_checker.on_node_started(node.name, node.started_at);
    mark_disturbed(node, Duration::zero());
    node.process.start({m_options.front_program, "--settings", node.settings_file, "--metrics-port",
                        std::to_string(METRICS_PORT)},
                       node.log_file);
}

void SoakEnvironment::watch_nodes() {
    bool any_running = false;
    for (const std::unique_ptr<Node>& node : m_nodes) {
        const std::optional<int> status = node->process.poll_end();
        if (status.has_value()) {
            on_node_end(*node, *status);
        }
        any_running = any_running || node->process.is_running();
        if (!m_ending && !node->process.is_running() && monotonic_now() >= node->restart_at) {
            start_node(*node);
        }
    }
    if (m_ending && !any_running) {
        m_loop.stop();
        return;
    }
    run_after(WATCH_INTERVAL, [this] { watch_nodes(); });
}

void SoakEnvironment::on_node_end(Node& node, int status) {
    // SIGTERM ends the program at once if it has no signal handler yet. It has served no request
    // by then.
    const bool just_started = status == SIGTERM && monotonic_now() - node.started_at < STARTUP_TIME;
    const bool expected = node.killed || (node.stopping && (status == 0 || just_started));
    if (!expected) {
        m_checker.on_unexpected_end(node.name, status);
    }
    node.in_rotation = false;
}

void SoakEnvironment::stop_all() {
    for (const std::unique_ptr<Node>& node : m_nodes) {
        stop_node(*node);
    }
}

std::vector<std::string> SoakEnvironment::shard_names() const {
    std::vector<std::string> shards;
    const std::size_t count = m_repartitioned ? SHARDS_AFTER_REPARTITION : SHARDS;
    const std::string prefix = m_repartitioned ? "members-" : "catalogue-";
    for (std::size_t shard = 0; shard < count; ++shard) {
        shards.push_back(prefix + std::to_string(shard));
    }
    return shards;
}

void SoakEnvironment::publish_config() {
    const std::vector<std::string> shards = shard_names();
    if (m_config.routes.empty()) {
        m_config.routes["book"] = {"book", true, 2, from_ms(2000), {"booking"}};
        m_config.routes["order"] = {"order", false, 2, from_ms(2000), {"awards"}};
    }
    m_config.routes["browse"] = {"browse", true, 2, from_ms(1200), shards, true, 20, 0.8};
    m_config.routes["check"] = {"check", true, 2, from_ms(800), shards, true, 5, 0.6};
    m_config.version += 1 + static_cast<std::int64_t>(m_random() % 4);
    m_published_config = config_json(m_config);
    m_store->put(names::CONFIG_KIND, names::CONFIG_NAME, m_published_config);
    m_config.acknowledged = monotonic_now();
    m_checker.on_config(m_config);
}

void SoakEnvironment::add_nested_route(const SoakStep& step) {
    const std::string parent = step.pick % 2 == 0 ? "book" : "order";
    SoakRoute route;
    route.name = parent + "/x" + std::to_string(m_config.version);
    route.timeout = from_ms(2000);
    route.services = {"catalogue-" + std::to_string(step.pick / 2 % SHARDS)};
    route.regions = {region_of(DATA_CENTRES.at(step.pick / 3 % DATA_CENTRES.size()))};
    m_config.routes[route.name] = route;
    publish_and_probe(route.name);
}

Json SoakEnvironment::config_json(const SoakConfig& config) const {
    Json routes = Json::array();
    for (const auto& [name, route] : config.routes) {
        routes.push_back(route_json(route));
    }
    Json services = Json::array();
    for (const std::unique_ptr<TargetSlot>& slot : m_slots) {
        services.push_back(
            service_json(slot->parameters.service, slot->parameters.max_connections));
    }
    for (std::size_t service = 0; service < m_options.idle_services; ++service) {
        SoakRoute route;
        route.name = idle_service_name(service);
        route.services = {route.name};
        routes.push_back(route_json(route));
        services.push_back(service_json(route.name, 10 * m_options.nodes));
    }
    return {{"version", config.version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 30000}}}};
}

void SoakEnvironment::measure_stalls() {
    const Time now = monotonic_now();
    if (m_next_stall_check != Time{} && now > m_next_stall_check + STALL_THRESHOLD) {
        m_checker.mark_store_disturbed(now);
    }
    m_next_stall_check = now + STALL_CHECK_INTERVAL;
    run_after(STALL_CHECK_INTERVAL, [this] { measure_stalls(); });
}

}  // namespace soak
