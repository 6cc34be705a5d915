// Fleet simulation in virtual time: the decision code of the direct request path under load.
//
// Each node has its own measurements and retry budget, as in a real fleet. Targets have slots, a
// queue that sheds when it is full, and a service time; they may be slow, shed, fail, lose
// responses or pause. Nothing sleeps and no socket is opened; the same seed gives the same run.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "fleet_fixture.h"

namespace ebonymount {

/// Behaviour and state of a simulated target; the behaviour may be changed during the simulation.
struct SimulatedTarget {
    std::int64_t slots = 2;
    std::int64_t queue_capacity = 12;
    double slow_factor = 1.0;
    /// Fraction of the requests that are refused at once.
    double shed_share = 0.0;
    /// Fractions of the requests that run and whose response is lost, or is a failure.
    double lost_response_share = 0.0;
    double error_share = 0.0;
    /// No request starts before this time.
    Time paused_until{};

    std::int64_t running = 0;
    std::vector<std::function<void()>> waiting;
};

/// Load and size of a simulation.
struct SimulationOptions {
    std::size_t nodes = 6;
    std::size_t shards = 10;
    std::size_t replicas = 3;
    std::int64_t slots = 2;
    /// Requests per second, at all nodes together.
    double rate = 200.0;
    Duration service_time = from_ms(9);
    /// One-way network latency to another data centre.
    Duration cross_data_centre_latency = from_ms(8);
    double min_coverage = 0.89;
    Duration objective = from_ms(150);
    /// CPU time of a node for one part; see `FanOutParameters::part_time`.
    Duration part_time{};
    Duration length = from_ms(10000);
    std::uint64_t seed = 1;
    RetryBudgetLimits retry_budget = node_share_of_budget(0.2, 52, from_ms(10000), 6);
};

/// Results, as seen by callers and targets.
struct SimulationReport {
    std::int64_t requests = 0;
    std::int64_t in_objective = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    /// Shards that are missing in successful responses.
    std::int64_t shards_missing = 0;
    /// Times of the arrivals beyond the first one of each request, by service.
    std::map<ServiceIndex, std::vector<Time>> extra;

    /// Fraction of the requests that got a successful response within the objective.
    double goodput() const {
        return static_cast<double>(in_objective) / static_cast<double>(requests);
    }
};

class FleetSimulation {
public:
    explicit FleetSimulation(const SimulationOptions& options);
    ~FleetSimulation();
    FleetSimulation(const FleetSimulation&) = delete;
    FleetSimulation& operator=(const FleetSimulation&) = delete;
    FleetSimulation(FleetSimulation&&) = delete;
    FleetSimulation& operator=(FleetSimulation&&) = delete;

    SimulatedTarget& target(std::size_t shard, std::size_t replica);

    /// Schedules an action, such as a fault, at a time after the start.
    void schedule_after_start(Duration after_start, std::function<void()> action);

    /// Runs the simulation for its whole length and until every request has ended.
    SimulationReport run();

private:
    struct Node;
    struct Request;

    void schedule(Time when, std::function<void()> action);
    void receive_request(std::size_t node);
    void advance(const std::shared_ptr<Request>& request, const FanOutEvent& event);
    void start_attempt(const std::shared_ptr<Request>& request, const StartAttempt& action);
    void deliver_to_target(const std::shared_ptr<Request>& request, const StartAttempt& action,
                           Duration network_latency);
    void start_or_queue(SimulatedTarget& target, const std::function<void()>& done);
    void free_slot(SimulatedTarget& target);
    void receive_outcome(const std::shared_ptr<Request>& request, const StartAttempt& action,
                         FanOutAttemptStatus status);
    void record_end(const std::shared_ptr<Request>& request, FanOutStatus status);

    SimulationOptions m_options;
    Time m_now;
    Random m_random;
    std::multimap<Time, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<SimulatedTarget> m_targets;
    SimulationReport m_report;
};

/// Maximum number of arrivals in any window of that length.
std::int64_t max_in_window(const std::vector<Time>& arrivals, Duration window);

}  // namespace ebonymount
