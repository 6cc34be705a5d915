#include "fleet_simulation.h"

#include <algorithm>
#include <cmath>

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

struct FleetSimulation::Node {
    explicit Node(const SimulationOptions& options)
        : fleet(options.shards, options.replicas, options.slots) {}

    FleetFixture fleet;
};

struct FleetSimulation::Request {
    std::size_t node = 0;
    FanOutState state;
    std::map<std::uint32_t, Time> sent;
    std::map<std::uint32_t, std::int64_t> ahead;
};

FleetSimulation::FleetSimulation(const SimulationOptions& options)
    : m_options(options), m_now(START), m_random(options.seed) {
    for (std::size_t i = 0; i < options.nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>(options));
        FleetFixture& fleet = m_nodes.back()->fleet;
        fleet.random.seed(options.seed * 1000 + i);
        fleet.retry_budget = options.retry_budget;
        fleet.targets.own_data_centre = "dc" + std::to_string(i % options.replicas);
        for (TargetState& state : fleet.targets.states) {
            state.same_data_centre = state.entry.data_centre == fleet.targets.own_data_centre;
            state.same_region = true;
            state.max_connections = 1000000;
        }
    }
    m_targets.resize(options.shards * options.replicas);
    for (SimulatedTarget& target : m_targets) {
        target.slots = options.slots;
    }
}

FleetSimulation::~FleetSimulation() = default;

SimulatedTarget& FleetSimulation::target(std::size_t shard, std::size_t replica) {
    return m_targets.at(m_nodes.front()->fleet.target(shard, replica));
}

void FleetSimulation::schedule(Time when, std::function<void()> action) {
    m_events.emplace(when, std::move(action));
}

void FleetSimulation::schedule_after_start(Duration after_start, std::function<void()> action) {
    schedule(START + after_start, std::move(action));
}

SimulationReport FleetSimulation::run() {
    const double gap_us = 1e6 / m_options.rate;
    Time next = START;
    std::size_t node = 0;
    while (next < START + m_options.length) {
        schedule(next, [this, node] { receive_request(node); });
        node = (node + 1) % m_nodes.size();
        next += Duration(static_cast<std::int64_t>(-std::log(1.0 - uniform(m_random)) * gap_us));
    }
    while (!m_events.empty()) {
        m_now = m_events.begin()->first;
        const std::function<void()> action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    return m_report;
}

void FleetSimulation::receive_request(std::size_t node) {
    FleetFixture& fleet = m_nodes[node]->fleet;
    FanOutParameters parameters = fleet.parameters(m_now);
    parameters.min_coverage = m_options.min_coverage;
    parameters.objective_deadline = m_now + m_options.objective;
    parameters.part_time = m_options.part_time;
    const std::shared_ptr<Request> request = std::make_shared<Request>();
    request->node = node;
    request->state = begin_request(parameters, fleet.all_shards());
    ++m_report.requests;
    advance(request, BeginRequest{});
}

void FleetSimulation::advance(const std::shared_ptr<Request>& request, const FanOutEvent& event) {
    FleetFixture& fleet = m_nodes[request->node]->fleet;
    const std::vector<FanOutAction> actions = step(request->state, event, fleet.context(m_now));
    for (const FanOutAction& action : actions) {
        if (const StartAttempt* start = std::get_if<StartAttempt>(&action)) {
            start_attempt(request, *start);
        } else if (const EndRequest* end = std::get_if<EndRequest>(&action)) {
            record_end(request, end->status);
        }
    }
    if (!request->state.finished) {
        const Time tick = std::max(next_tick(request->state), m_now + Duration(1));
        schedule(tick, [this, request] {
            if (!request->state.finished && next_tick(request->state) <= m_now) {
                advance(request, ClockTick{});
            }
        });
    }
}

void FleetSimulation::start_attempt(const std::shared_ptr<Request>& request,
                                    const StartAttempt& action) {
    TargetState& state = m_nodes[request->node]->fleet.targets.states[action.target];
    request->sent[action.id] = m_now;
    request->ahead[action.id] = requests_ahead(state, m_now);
    on_sent(state, m_now);
    if (request->state.shards[action.shard].arrivals > 0) {
        m_report.extra[request->state.shards[action.shard].service].push_back(m_now);
    }
    const Duration network_latency =
        state.same_data_centre ? Duration::zero() : m_options.cross_data_centre_latency;
    schedule(m_now + network_latency, [this, request, action, network_latency] {
        deliver_to_target(request, action, network_latency);
    });
    advance(request, AttemptSent{action.id});
}

void FleetSimulation::deliver_to_target(const std::shared_ptr<Request>& request,
                                        const StartAttempt& action, Duration network_latency) {
    SimulatedTarget& target = m_targets[action.target];
    const bool is_full = target.running >= target.slots &&
                         static_cast<std::int64_t>(target.waiting.size()) >= target.queue_capacity;
    if (is_full || uniform(m_random) < target.shed_share) {
        schedule(m_now + network_latency, [this, request, action] {
            receive_outcome(request, action, FanOutAttemptStatus::refused);
        });
        return;
    }
    start_or_queue(target, [this, request, action, network_latency, &target] {
        FanOutAttemptStatus status = FanOutAttemptStatus::answered;
        if (target.lost_response_share > 0.0 && uniform(m_random) < target.lost_response_share) {
            status = FanOutAttemptStatus::broken;
        } else if (target.error_share > 0.0 && uniform(m_random) < target.error_share) {
            status = FanOutAttemptStatus::target_error;
        }
        schedule(m_now + network_latency,
                 [this, request, action, status] { receive_outcome(request, action, status); });
    });
}

void FleetSimulation::start_or_queue(SimulatedTarget& target, const std::function<void()>& done) {
    if (target.running >= target.slots) {
        target.waiting.push_back(done);
        return;
    }
    ++target.running;
    const double spread = 0.6 + 0.8 * uniform(m_random);
    const Time begin = std::max(m_now, target.paused_until);
    schedule(begin + scaled(m_options.service_time, spread * target.slow_factor),
             [this, &target, done] {
                 done();
                 free_slot(target);
             });
}

void FleetSimulation::free_slot(SimulatedTarget& target) {
    --target.running;
    if (!target.waiting.empty()) {
        const std::function<void()> next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        start_or_queue(target, next);
    }
}

void FleetSimulation::receive_outcome(const std::shared_ptr<Request>& request,
                                      const StartAttempt& action, FanOutAttemptStatus status) {
    TargetState& state = m_nodes[request->node]->fleet.targets.states[action.target];
    const SimulatedTarget& target = m_targets[action.target];
    on_load_report(state, static_cast<std::int64_t>(target.waiting.size()), m_now);
    if (status == FanOutAttemptStatus::refused) {
        on_refusal(state, m_now);
    } else if (status == FanOutAttemptStatus::broken) {
        on_failure(state, true, Duration::zero(), m_now);
    } else if (status == FanOutAttemptStatus::target_error) {
        on_target_error(state, m_now - request->sent[action.id], request->ahead[action.id], m_now);
    } else {
        on_response(state, m_now - request->sent[action.id], request->ahead[action.id], m_now);
    }
    advance(request, AttemptEnded{action.id, status});
}

void FleetSimulation::record_end(const std::shared_ptr<Request>& request, FanOutStatus status) {
    const FanOutState& state = request->state;
    if (status == FanOutStatus::complete || status == FanOutStatus::partial) {
        const bool in_time = m_now <= state.parameters.objective_deadline;
        ++(in_time ? m_report.in_objective : m_report.late);
        m_report.shards_missing += static_cast<std::int64_t>(state.shards.size()) - state.answered;
    } else if (status == FanOutStatus::not_run) {
        ++m_report.refused;
    } else {
        ++m_report.failed;
    }
}

std::int64_t max_in_window(const std::vector<Time>& arrivals, Duration window) {
    std::size_t first = 0;
    std::size_t max_count = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= window) {
            ++first;
        }
        max_count = std::max(max_count, last - first + 1);
    }
    return static_cast<std::int64_t>(max_count);
}

}  // namespace ebonymount
