// The environment of one soak run: nodes as real processes, surrounded by stand-ins for callers,
// load balancer, targets, store and operator, with a fault-injecting link on every path.
//
// Each node reaches the store through its own link, callers reach a node through its caller link,
// and all nodes reach a target through the target's link. Everything except the nodes runs on one
// event loop, so the checker receives events in the order in which callers and targets see them.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "io/http_channel.h"
#include "link.h"
#include "platform_store.h"
#include "platform_target.h"
#include "soak_checker.h"
#include "soak_plan.h"
#include "soak_process.h"

namespace soak {

/// Ports; each endpoint has its own loopback address. Nodes listen for callers on `PORT`, and
/// links, store and targets use it too.
constexpr int PORT = 7101;
constexpr int READY_PORT = 7102;
constexpr int METRICS_PORT = 7103;
constexpr int PEER_PORT = 7104;

/// Kinds of endpoints. The upper half of the third byte of a loopback address is the kind; the
/// lower half and the last byte are the number of the endpoint.
constexpr int NODES = 1;
constexpr int CALLER_LINKS = 2;
constexpr int STORE_LINKS = 3;
constexpr int STORE = 4;
constexpr int TARGETS = 5;
constexpr int TARGET_LINKS = 6;
constexpr int IDLE_TARGETS = 7;

struct SoakOptions {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    /// Services without traffic, which enlarge the configuration by a route each and the list of
    /// targets by one target in each data centre.
    std::size_t idle_services = 0;
    /// Length of the fault phase. Warm-up, recovery and calm phase come on top.
    Duration fault_phase = ebonymount::from_ms(14000);
    /// Requests per second over all nodes.
    double rate_per_s = 80.0;
    /// Second byte of the loopback addresses; concurrent runs need different values.
    int instance = 20;
    /// Kinds of steps in the plan; all that are drawn for series if empty.
    std::vector<StepKind> kinds;
    std::string front_program;
    /// Directory for the settings files and logs of the nodes.
    std::string directory;
};

/// The store's faults while several steps are in effect: the largest value of each, and of outages
/// the one that shows clients the least.
standin::PlatformFaults combined_store_faults(const std::vector<SoakStep>& steps);

class SoakEnvironment {
public:
    explicit SoakEnvironment(const SoakOptions& options);
    ~SoakEnvironment();
    SoakEnvironment(const SoakEnvironment&) = delete;
    SoakEnvironment& operator=(const SoakEnvironment&) = delete;
    SoakEnvironment(SoakEnvironment&&) = delete;
    SoakEnvironment& operator=(SoakEnvironment&&) = delete;

    /// Runs the plan, and returns when all nodes have stopped.
    const SoakChecker& run(const std::vector<SoakStep>& plan);

private:
    using Channel = std::shared_ptr<ebonymount::HttpChannel>;
    using LinkPointer = std::shared_ptr<standin::Link>;
    struct Node {
        std::string name;
        std::string data_centre;
        std::string settings_file;
        std::string log_file;
        /// Number of the node and its links in their loopback addresses.
        int host = 0;
        SoakProcess process;
        LinkPointer caller_link;
        LinkPointer store_link;
        std::vector<Channel> caller_connections;
        Channel readiness_channel;
        /// Consecutive readiness checks without a response with status 200.
        int missed_checks = 0;
        /// The load balancer sends requests to this node.
        bool in_rotation = false;
        /// A graceful stop was requested; stays set until the node is started again.
        bool stopping = false;
        bool killed = false;
        /// End of the latest pause of the process.
        Time paused_until{};
        /// Number of graceful stops so far.
        int stops = 0;
        Time started_at{};
        /// An ended process is started again from this time on.
        Time restart_at{};
        /// Value in the settings file that each reload increments.
        int revision = 0;
    };
    /// An address with a target behind a link. The target can be replaced.
    struct TargetSlot {
        /// Number of the target and its link in their loopback addresses.
        std::size_t host = 0;
        standin::PlatformTargetParameters parameters;
        LinkPointer link;
        std::shared_ptr<standin::PlatformTarget> target;
        bool registered = false;
    };

    /// Loopback address of an endpoint; without a port if `port` is 0.
    std::string address(int endpoint_kind, std::size_t host, int port) const;
    void run_after(Duration delay, std::function<void()> callback);

    // Setup and process control.
    void make_targets();
    void register_idle_targets();
    void make_nodes();
    void open_target(TargetSlot& slot);
    void register_target(TargetSlot& slot, const std::string& state);
    nlohmann::json entry_of(const TargetSlot& slot, const std::string& state) const;
    void unregister_target(TargetSlot& slot);
    void write_settings(Node& node) const;
    void start_node(Node& node);
    void watch_nodes();
    void on_node_end(Node& node, int status);

    // Operator.
    void publish_config();
    /// Publishes the configuration, and once it must be in force sends each node a request on the
    /// route that has changed, over a connection of its own without a link. Repeated once nodes
    /// that were disturbed at the change count as stable.
    void publish_and_probe(const std::string& route);
    void probe_nodes(const std::string& route);
    /// Adds a route below an existing prefix, with another service and its homes in one region.
    void add_nested_route(const SoakStep& step);
    nlohmann::json config_json(const SoakConfig& config) const;
    std::vector<std::string> shard_names() const;

    // Callers and load balancer.
    void check_readiness(Node& node);
    void generate_traffic();
    std::vector<Node*> nodes_for_new_connections() const;
    std::vector<Node*> nodes_with_open_connections() const;
    void send_request(Node& node, const Channel& channel, const SoakRoute& route);
    Channel pick_connection(Node& node, bool must_be_open);
    void on_response(const std::string& id, ebonymount::CallStatus status,
                     const ebonymount::HttpResponseMessage& message);

    // Steps of the plan: faults, and operations of the operator and callers.
    void apply(const SoakStep& step);
    void apply_to_node(const SoakStep& step, Node& node);
    void apply_to_link(const SoakStep& step, Node& node, TargetSlot& slot);
    void apply_to_store(const SoakStep& step);
    /// Silences connections between the store and the nodes that read it for others, or freezes
    /// their links or those of a whole data centre.
    void apply_to_store_links(const SoakStep& step);
    /// The store goes on for some seconds after a copy was taken, is away for a moment and returns
    /// from the copy. `ended` is called upon the return.
    void return_store(const SoakStep& step, Duration age, const std::function<void()>& ended);
    void apply_return(const SoakStep& step);
    /// The store has this fault for a time, besides those of other steps.
    void add_store_fault(const SoakStep& step);
    /// A target writes its entry anew with nothing changed.
    void renew_entry(TargetSlot& slot);
    /// Writes an object that the store has lost again, as its writer wants it by now: the operator
    /// or a target. Objects of nodes are not written again.
    void write_again(const std::string& kind, const std::string& name);
    /// Sends each node a request on every route.
    void probe_all_routes();
    void limit_target(const SoakStep& step, TargetSlot& slot);
    void apply_to_target(const SoakStep& step, TargetSlot& slot);
    void apply_by_operator(const SoakStep& step);
    void take_out(const std::string& data_centre, Duration length);
    void stop_node(Node& node);
    void kill_node(Node& node, Duration downtime);
    void crash_target(TargetSlot& slot, Duration downtime, const std::string& new_service);
    /// Drains a target and restarts it later. If `unannounced`, its entry is removed at once
    /// instead of being set to draining.
    void drain_target(TargetSlot& slot, bool unannounced);
    /// Starts a new target of the given service at the slot's address.
    void restart_target(TargetSlot& slot, const std::string& service);
    void mark_disturbed(Node& node, Duration length);
    void mark_disturbed(TargetSlot& slot, Duration length);
    /// Detects stalls of the soak itself and marks the store as disturbed.
    void measure_stalls();
    void stop_all();

    SoakOptions m_options;
    SoakBounds m_bounds;
    ebonymount::EventLoop m_loop;
    ebonymount::Random m_random;
    SoakChecker m_checker;
    std::unique_ptr<standin::PlatformStore> m_store;
    /// Steps whose fault of the store has not ended.
    std::vector<SoakStep> m_store_steps;
    /// From the copy that a step has the store take until its last return.
    bool m_store_is_returning = false;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<TargetSlot>> m_slots;
    SoakConfig m_config;
    /// The newest configuration as it was published.
    nlohmann::json m_published_config;
    /// Data centres that the operator has out of service, once for each step that wants them so.
    std::multiset<std::string> m_out_of_service;
    bool m_repartitioned = false;
    std::int64_t m_next_id = 1;
    double m_rate_per_s = 0.0;
    double m_disconnect_share = 0.0;
    bool m_generating_traffic = false;
    bool m_ending = false;
    Time m_next_stall_check{};
};

}  // namespace soak
