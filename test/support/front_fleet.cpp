#include "front_fleet.h"

#include <deque>
#include <set>
#include <stdexcept>

#include "io/http_channel.h"
#include "io/http_status.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(60000);
constexpr Duration CHECK_INTERVAL = from_ms(10);
constexpr const char* HOST = "fleet.example";
constexpr std::array<const char*, 3> DATA_CENTRES = {"east", "west", "north"};

}  // namespace

FrontFleet::FrontFleet(std::size_t nodes)
    : m_loop(LoopThread::caller),
      m_store(std::make_unique<standin::PlatformStore>(m_loop, "127.0.0.1:0", 1)) {
    for (std::size_t i = 0; i < nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>());
        platform::Settings& settings = m_nodes.back()->settings;
        settings.node = "node-" + std::to_string(i);
        settings.data_centre = DATA_CENTRES.at(i % DATA_CENTRES.size());
        settings.region = settings.data_centre;
        settings.ip = "127.0.0.1";
        for (const char* data_centre : DATA_CENTRES) {
            settings.regions[data_centre] = data_centre;
        }
        settings.caller_address = free_address();
        settings.ready_address = free_address();
        settings.peer_address = free_address();
        settings.store_address = m_store->address();
        settings.first_start = true;
        settings.max_open_files = 4096;
        settings.retry_ratio = 0.2;
        settings.retry_slack = 50;
    }
    m_loop.run_at(monotonic_now() + HANG_LIMIT, [this] { m_loop.stop(); });
    check_steps();
}

FrontFleet::~FrontFleet() {
    for (const std::unique_ptr<Node>& node : m_nodes) {
        node->signals.stop = true;
    }
    for (const std::unique_ptr<Node>& node : m_nodes) {
        if (node->thread.joinable()) {
            node->thread.join();
        }
    }
}

void FrontFleet::set_service_time(Duration time) {
    m_service_time = time;
}

void FrontFleet::set_route_timeout(Duration time) {
    m_route_timeout = time;
}

void FrontFleet::set_max_header_bytes(std::size_t bytes) {
    m_max_header_bytes = bytes;
}

void FrontFleet::add_targets(const std::string& service, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t number = m_services[service]++;
        standin::PlatformTargetParameters parameters;
        parameters.id = service + "-" + std::to_string(number);
        parameters.service = service;
        parameters.data_centre = DATA_CENTRES.at(number % DATA_CENTRES.size());
        parameters.address = free_address();
        parameters.service_time = m_service_time;
        standin::PlatformTargetObserver observer;
        observer.on_arrival = [this](const standin::PlatformTarget& target,
                                     const HttpRequestMessage& request) {
            m_arrivals.push_back({target.parameters().id, request.target,
                                  std::string(find_header(request.headers, names::REQUEST_ID)),
                                  monotonic_now()});
        };
        observer.on_run = [](const standin::PlatformTarget&, const std::string&) {
        };
        observer.on_response = [](const standin::PlatformTarget&, const std::string&,
                                  const std::string&, const std::string&, bool) {
        };
        observer.on_cancelled = [](const std::string&) {
        };
        m_targets.push_back(standin::PlatformTarget::open(m_loop, parameters, observer));
        publish_target(parameters, "ready");
    }
}

void FrontFleet::register_target(const std::string& service, const std::string& target,
                                 const std::string& address) {
    ++m_services[service];
    standin::PlatformTargetParameters parameters;
    parameters.id = target;
    parameters.service = service;
    parameters.data_centre = DATA_CENTRES.front();
    parameters.address = address;
    publish_target(parameters, "ready");
}

void FrontFleet::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    m_written[{kind, name}] = spec;
    m_store->put(kind, name, spec);
}

void FrontFleet::publish_again(const std::string& kind, const std::string& name) {
    const auto written = m_written.find({kind, name});
    if (written != m_written.end()) {
        m_store->put(kind, name, written->second);
    }
}

void FrontFleet::publish_target(const standin::PlatformTargetParameters& parameters,
                                const std::string& state) {
    put(names::TARGETS_KIND, parameters.id,
        {{"service", parameters.service},
         {"address", parameters.address},
         {"zone", parameters.data_centre},
         {"version", "v1"},
         {"max_concurrency", parameters.slots},
         {"state", state},
         {"cold_remaining_ms", 0},
         {"sequence", 1}});
}

void FrontFleet::set_target_state(const std::string& target, const std::string& state) {
    for (const std::shared_ptr<standin::PlatformTarget>& one : m_targets) {
        if (one->parameters().id == target) {
            publish_target(one->parameters(), state);
        }
    }
}

void FrontFleet::set_behaviour(const standin::TargetBehaviour& behaviour) {
    for (const std::shared_ptr<standin::PlatformTarget>& target : m_targets) {
        target->set_behaviour(behaviour);
    }
}

void FrontFleet::set_behaviour(const std::string& target,
                               const standin::TargetBehaviour& behaviour) {
    for (const std::shared_ptr<standin::PlatformTarget>& one : m_targets) {
        if (one->parameters().id == target) {
            one->set_behaviour(behaviour);
        }
    }
}

void FrontFleet::crash_targets() {
    for (const std::shared_ptr<standin::PlatformTarget>& target : m_targets) {
        target->crash();
    }
}

void FrontFleet::restart_targets() {
    for (const std::shared_ptr<standin::PlatformTarget>& target : m_targets) {
        target->restart();
    }
}

void FrontFleet::publish_routes(const std::vector<FleetRoute>& routes) {
    nlohmann::json rows = nlohmann::json::array();
    for (const FleetRoute& route : routes) {
        nlohmann::json row = {{"name", route.name},
                              {"hostname", HOST},
                              {"path_prefix", "/" + route.name + "/"},
                              {"type", route.idempotent ? "idempotent" : "non_idempotent"},
                              {"timeout_ms", m_route_timeout.count() / 1000},
                              {"target_latency_ms", 500},
                              {"priority", 1},
                              {"max_attempts", route.max_attempts},
                              {"allowed_regions", route.regions}};
        if (route.fan_out) {
            row["fanout_services"] = route.services;
            row["top_k"] = 5;
            row["min_success_share"] = route.min_coverage;
        } else {
            row["service"] = route.services.front();
        }
        rows.push_back(row);
    }
    nlohmann::json services = nlohmann::json::array();
    for (const auto& [name, count] : m_services) {
        services.push_back({{"name", name},
                            {"health_path", "/health"},
                            {"max_connections", 100},
                            {"cold_start_s", 1.0},
                            {"cold_per_s", 0.0}});
    }
    put(names::CONFIG_KIND, names::CONFIG_NAME,
        {{"version", ++m_config_version},
         {"routes", rows},
         {"services", services},
         {"limits",
          {{"max_header_bytes", m_max_header_bytes},
           {"max_body_bytes", 262144},
           {"header_timeout_ms", 5000},
           {"idle_timeout_ms", 30000}}}});
}

void FrontFleet::start(const std::vector<FleetRoute>& routes) {
    publish_routes(routes);
    for (const std::unique_ptr<Node>& node : m_nodes) {
        if (!node->held_back) {
            start_node(*node);
        }
    }
}

void FrontFleet::hold_back(std::size_t node) {
    m_nodes.at(node)->held_back = true;
    m_nodes.at(node)->settings.first_start = false;
}

void FrontFleet::start_node(std::size_t node) {
    m_nodes.at(node)->held_back = false;
    start_node(*m_nodes.at(node));
}

void FrontFleet::start_node(Node& node) {
    Result<std::unique_ptr<Front>> front = Front::start(node.settings, "", 0, node.signals);
    if (!has_value(front)) {
        throw std::runtime_error(describe(error_of(front)));
    }
    node.front = std::move(std::get<std::unique_ptr<Front>>(front));
    node.thread = std::thread([&node] {
        node.front->run();
        node.front.reset();
        node.stopped = true;
    });
    check_readiness(node);
}

void FrontFleet::check_readiness(Node& node) {
    call(node.settings.ready_address, {"GET", names::READINESS_PATH, {}, "", false},
         [this, &node](CallStatus, const HttpResponseMessage& response) {
             node.ready = response.status == http::OK;
             if (!node.ready) {
                 run_after(CHECK_INTERVAL, [this, &node] { check_readiness(node); });
             }
         });
}

void FrontFleet::stop_node(std::size_t node) {
    m_nodes.at(node)->signals.stop = true;
}

bool FrontFleet::has_stopped(std::size_t node) const {
    return m_nodes.at(node)->stopped;
}

bool FrontFleet::is_ready() const {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const std::unique_ptr<Node>& node) {
        return node->held_back || node->ready;
    });
}

void FrontFleet::send(std::size_t node, const std::string& path,
                      const std::function<void(int, const std::string&)>& on_end) {
    request(node, {"GET", path, {}, "", false},
            [on_end](CallStatus status, const HttpResponseMessage& response) {
                on_end(status == CallStatus::answered ? response.status : 0,
                       std::string(find_header(response.headers, names::RETRY_AFTER)));
            });
}

void FrontFleet::request(std::size_t node, HttpRequestMessage request,
                         std::function<void(CallStatus, const HttpResponseMessage&)> on_end) {
    request.headers.push_back({"Host", HOST});
    if (find_header(request.headers, names::REQUEST_ID).empty()) {
        request.headers.push_back({names::REQUEST_ID, "r" + std::to_string(m_next_request++)});
    }
    request.headers.push_back({names::DEADLINE, std::to_string(m_route_timeout.count() / 1000)});
    request.keep_alive = false;
    call(m_nodes.at(node)->settings.caller_address, std::move(request), std::move(on_end));
}

void FrontFleet::call(const std::string& address, HttpRequestMessage message,
                      std::function<void(CallStatus, const HttpResponseMessage&)> on_end) {
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(m_loop, address, [](HttpChannel&) {});
    if (channel == nullptr) {
        m_loop.post([on_end] { on_end(CallStatus::not_sent, HttpResponseMessage{}); });
        return;
    }
    ChannelCall request;
    request.make_request = [message = std::move(message)] {
        return encode(message);
    };
    request.on_sent = [] {
    };
    // Responses may repeat what the request contains.
    request.limits.max_header_bytes += m_max_header_bytes;
    request.on_end = std::move(on_end);
    channel->start(std::move(request));
}

const std::string& FrontFleet::caller_address(std::size_t node) const {
    return m_nodes.at(node)->settings.caller_address;
}

bool FrontFleet::run_steps(std::vector<TestStep> steps) {
    m_steps = std::move(steps);
    m_loop.run();
    return m_steps.empty();
}

void FrontFleet::run_after(Duration delay, std::function<void()> action) {
    m_loop.run_at(monotonic_now() + delay, std::move(action));
}

void FrontFleet::check_steps() {
    if (advance_steps(m_steps)) {
        m_loop.stop();
    }
    run_after(CHECK_INTERVAL, [this] { check_steps(); });
}

std::size_t FrontFleet::crashed() const {
    return static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(),
        [](const std::shared_ptr<standin::PlatformTarget>& target) { return target->is_down(); }));
}

std::size_t FrontFleet::arrivals_at(const std::string& target) const {
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(),
                      [&target](const FleetArrival& arrival) { return arrival.target == target; }));
}

std::size_t FrontFleet::max_arrivals(Duration window, Time from) const {
    std::map<std::string, std::deque<Time>> windows;
    std::size_t most = 0;
    for (const FleetArrival& arrival : m_arrivals) {
        if (arrival.at < from) {
            continue;
        }
        std::deque<Time>& times = windows[arrival.target];
        times.push_back(arrival.at);
        while (times.back() - times.front() >= window) {
            times.pop_front();
        }
        most = std::max(most, times.size());
    }
    return most;
}

const std::vector<FleetArrival>& FrontFleet::arrivals() const {
    return m_arrivals;
}

std::size_t FrontFleet::requests_reaching_targets(const std::string& path, Time after) const {
    std::set<std::string> requests;
    for (const FleetArrival& arrival : m_arrivals) {
        if (arrival.path == path && arrival.at >= after) {
            requests.insert(arrival.request_id);
        }
    }
    return requests.size();
}

standin::PlatformStore& FrontFleet::store() {
    return *m_store;
}

EventLoop& FrontFleet::loop() {
    return m_loop;
}

}  // namespace ebonymount
