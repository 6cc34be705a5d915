// Front nodes on loopback sockets, with stand-ins for the platform's store and targets.
//
// Each node is a `Front` on a thread of its own; the store, the targets and the callers share one
// event loop on the test's thread. A test gives steps, each with a condition to wait for, so that
// no check depends on how fast the machine is.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "front/front.h"
#include "loopback.h"
#include "platform_store.h"
#include "platform_target.h"

namespace ebonymount {

/// One route, and the services that it uses: a single one, or the shards of a fan-out.
struct FleetRoute {
    /// Requests match `/NAME/`.
    std::string name;
    std::vector<std::string> services;
    bool fan_out = false;
    bool idempotent = true;
    std::int64_t max_attempts = 2;
    double min_coverage = 0.75;
    /// Regions whose targets may serve the route; empty means all.
    std::vector<std::string> regions{};
};

/// The arrival of a request at a target.
struct FleetArrival {
    std::string target;
    std::string path;
    std::string request_id;
    Time at{};
};

class FrontFleet {
public:
    explicit FrontFleet(std::size_t nodes);
    ~FrontFleet();
    FrontFleet(const FrontFleet&) = delete;
    FrontFleet& operator=(const FrontFleet&) = delete;
    FrontFleet(FrontFleet&&) = delete;
    FrontFleet& operator=(FrontFleet&&) = delete;

    /// Mean service time of targets that are added later.
    void set_service_time(Duration time);
    /// Time limit of all routes and callers. Before `start`.
    void set_route_timeout(Duration time);
    /// Limit on the header of callers' requests. Before `start`.
    void set_max_header_bytes(std::size_t bytes);
    /// Adds targets of a service, one data centre after the other. Before `start`.
    void add_targets(const std::string& service, std::size_t count);
    /// Registers a target that the test itself plays. Before `start`.
    void register_target(const std::string& service, const std::string& target,
                         const std::string& address);
    /// Changes the behaviour of one target.
    void set_behaviour(const std::string& target, const standin::TargetBehaviour& behaviour);
    /// Changes the behaviour of all targets.
    void set_behaviour(const standin::TargetBehaviour& behaviour);
    /// All targets crash at once, or start again.
    void crash_targets();
    void restart_targets();
    /// Writes the configuration again, with the next version and these routes.
    void publish_routes(const std::vector<FleetRoute>& routes);
    /// Writes the configuration or an entry of a target again, as it was written last.
    void publish_again(const std::string& kind, const std::string& name);
    /// Writes a target's entry with that state.
    void set_target_state(const std::string& target, const std::string& state);
    /// `start` leaves this node out, until `start_node`. Before `start`.
    void hold_back(std::size_t node);
    void start_node(std::size_t node);
    /// Publishes the routes and starts the nodes. Requests can be sent once `is_ready`.
    void start(const std::vector<FleetRoute>& routes);

    /// Tells a node to stop, as SIGTERM does. Its sockets close when it has ended.
    void stop_node(std::size_t node);
    bool has_stopped(std::size_t node) const;

    /// True once each node that was started has said that it is ready.
    bool is_ready() const;

    /// Sends a request to a node on a new connection; `on_end` receives the status, 0 if the
    /// connection ended without a response, and the value of Retry-After.
    void send(std::size_t node, const std::string& path,
              const std::function<void(int status, const std::string& retry_after)>& on_end);

    /// Sends the request, to the host of the routes, on a new connection. It needs no id or
    /// deadline.
    void request(std::size_t node, HttpRequestMessage request,
                 std::function<void(CallStatus, const HttpResponseMessage&)> on_end);

    /// The address at which a node takes callers' requests.
    const std::string& caller_address(std::size_t node) const;

    /// Runs until each condition has held in turn; false if one never did.
    bool run_steps(std::vector<TestStep> steps);

    void run_after(Duration delay, std::function<void()> action);

    /// Number of targets that have crashed.
    std::size_t crashed() const;
    std::size_t arrivals_at(const std::string& target) const;
    /// The most requests that arrived at one target in any window of that length from `from` on.
    std::size_t max_arrivals(Duration window, Time from) const;
    /// Arrivals at targets, in order.
    const std::vector<FleetArrival>& arrivals() const;
    /// Number of different requests that reached a target with that path after that time.
    std::size_t requests_reaching_targets(const std::string& path, Time after) const;
    standin::PlatformStore& store();
    EventLoop& loop();

private:
    struct Node {
        platform::Settings settings;
        FrontSignals signals;
        std::unique_ptr<Front> front;
        std::thread thread;
        bool held_back = false;
        bool ready = false;
        std::atomic<bool> stopped{false};
    };

    void publish_target(const standin::PlatformTargetParameters& parameters,
                        const std::string& state);
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void start_node(Node& node);
    void check_readiness(Node& node);
    void call(const std::string& address, HttpRequestMessage request,
              std::function<void(CallStatus, const HttpResponseMessage&)> on_end);
    void check_steps();

    EventLoop m_loop;
    std::unique_ptr<standin::PlatformStore> m_store;
    std::map<std::string, std::size_t> m_services;
    std::vector<std::shared_ptr<standin::PlatformTarget>> m_targets;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<FleetArrival> m_arrivals;
    std::vector<TestStep> m_steps;
    std::int64_t m_next_request = 1;
    std::int64_t m_config_version = 0;
    /// What was written last, by kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json> m_written;
    Duration m_service_time = from_ms(2);
    std::size_t m_max_header_bytes = 16384;
    Duration m_route_timeout = from_ms(2000);
};

}  // namespace ebonymount
