#include "target_farm.h"

#include <algorithm>
#include <cmath>

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

struct TargetFarm::Node {
    explicit Node(const FarmTerms& terms) : fleet(terms.shards, terms.replicas, terms.slots) {}

    FleetFixture fleet;
};

struct TargetFarm::Request {
    std::size_t node = 0;
    FanOutState state;
    std::map<std::uint32_t, Time> sent;
    std::map<std::uint32_t, std::int64_t> ahead;
};

TargetFarm::TargetFarm(const FarmTerms& terms)
    : m_terms(terms), m_now(START), m_random(terms.seed) {
    for (std::size_t i = 0; i < terms.nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>(terms));
        FleetFixture& fleet = m_nodes.back()->fleet;
        fleet.random.seed(terms.seed * 1000 + i);
        fleet.extra_load = terms.extra_load;
        fleet.targets.own_data_centre = "dc" + std::to_string(i % terms.replicas);
        for (TargetState& state : fleet.targets.states) {
            state.same_data_centre = state.entry.data_centre == fleet.targets.own_data_centre;
            state.same_region = true;
            state.max_connections = 1000000;
        }
    }
    m_targets.resize(terms.shards * terms.replicas);
    for (FarmTarget& target : m_targets) {
        target.slots = terms.slots;
    }
}

TargetFarm::~TargetFarm() = default;

FarmTarget& TargetFarm::target(std::size_t shard, std::size_t replica) {
    return m_targets.at(m_nodes.front()->fleet.target(shard, replica));
}

void TargetFarm::schedule(Time when, std::function<void()> what) {
    m_events.emplace(when, std::move(what));
}

void TargetFarm::at(Duration after, std::function<void()> what) {
    schedule(START + after, std::move(what));
}

FarmReport TargetFarm::run() {
    const double gap_us = 1e6 / m_terms.rate;
    Time next = START;
    std::size_t node = 0;
    while (next < START + m_terms.length) {
        schedule(next, [this, node] { arrive(node); });
        node = (node + 1) % m_nodes.size();
        next += Duration(static_cast<std::int64_t>(-std::log(1.0 - uniform(m_random)) * gap_us));
    }
    while (!m_events.empty()) {
        m_now = m_events.begin()->first;
        const std::function<void()> what = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        what();
    }
    return m_report;
}

void TargetFarm::arrive(std::size_t node) {
    FleetFixture& fleet = m_nodes[node]->fleet;
    FanOutTerms terms = fleet.terms(m_now);
    terms.min_coverage = m_terms.min_coverage;
    const std::shared_ptr<Request> request = std::make_shared<Request>();
    request->node = node;
    request->state = begin_request(terms, fleet.all_shards());
    ++m_report.requests;
    advance(request, BeginRequest{});
}

void TargetFarm::advance(const std::shared_ptr<Request>& request, const FanOutEvent& event) {
    FleetFixture& fleet = m_nodes[request->node]->fleet;
    const std::vector<FanOutAction> actions = step(request->state, event, fleet.context(m_now));
    for (const FanOutAction& action : actions) {
        if (const StartTry* begin = std::get_if<StartTry>(&action)) {
            start(request, *begin);
        } else if (const EndRequest* finish = std::get_if<EndRequest>(&action)) {
            end(request, finish->end);
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

void TargetFarm::start(const std::shared_ptr<Request>& request, const StartTry& action) {
    TargetState& state = m_nodes[request->node]->fleet.targets.states[action.target];
    request->sent[action.id] = m_now;
    request->ahead[action.id] = requests_ahead(state, m_now);
    on_sent(state, m_now);
    if (request->state.shards[action.shard].arrivals > 0) {
        m_report.extra[request->state.shards[action.shard].service].push_back(m_now);
    }
    const Duration network_latency = state.same_data_centre ? Duration::zero() : m_terms.far_way;
    schedule(m_now + network_latency, [this, request, action, network_latency] {
        arrive_at_target(request, action, network_latency);
    });
    advance(request, TryBegan{action.id});
}

void TargetFarm::arrive_at_target(const std::shared_ptr<Request>& request, const StartTry& action,
                                  Duration network_latency) {
    FarmTarget& target = m_targets[action.target];
    const bool is_full = target.running >= target.slots &&
                         static_cast<std::int64_t>(target.waiting.size()) >= target.queue;
    if (is_full || uniform(m_random) < target.shed_share) {
        schedule(m_now + network_latency,
                 [this, request, action] { respond(request, action, TryEnd::refused); });
        return;
    }
    serve(target, [this, request, action, network_latency, &target] {
        TryEnd end = TryEnd::answered;
        if (target.lost_response_share > 0.0 && uniform(m_random) < target.lost_response_share) {
            end = TryEnd::broken;
        } else if (target.error_share > 0.0 && uniform(m_random) < target.error_share) {
            end = TryEnd::target_error;
        }
        schedule(m_now + network_latency,
                 [this, request, action, end] { respond(request, action, end); });
    });
}

void TargetFarm::serve(FarmTarget& target, const std::function<void()>& done) {
    if (target.running >= target.slots) {
        target.waiting.push_back(done);
        return;
    }
    ++target.running;
    const double spread = 0.6 + 0.8 * uniform(m_random);
    const Time begin = std::max(m_now, target.paused_until);
    schedule(begin + scaled(m_terms.service_time, spread * target.slow_factor),
             [this, &target, done] {
                 done();
                 finish_request(target);
             });
}

void TargetFarm::finish_request(FarmTarget& target) {
    --target.running;
    if (!target.waiting.empty()) {
        const std::function<void()> next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        serve(target, next);
    }
}

void TargetFarm::respond(const std::shared_ptr<Request>& request, const StartTry& action,
                         TryEnd end) {
    TargetState& state = m_nodes[request->node]->fleet.targets.states[action.target];
    const FarmTarget& target = m_targets[action.target];
    on_load_report(state, static_cast<std::int64_t>(target.waiting.size()), m_now);
    if (end == TryEnd::refused) {
        on_refusal(state, m_now);
    } else if (end == TryEnd::broken) {
        on_failure(state, true, Duration::zero(), m_now);
    } else if (end == TryEnd::target_error) {
        on_target_error(state, m_now - request->sent[action.id], request->ahead[action.id], m_now);
    } else {
        on_answer(state, m_now - request->sent[action.id], request->ahead[action.id], m_now);
    }
    advance(request, TryEnded{action.id, end});
}

void TargetFarm::end(const std::shared_ptr<Request>& request, FanOutEnd end) {
    const FanOutState& state = request->state;
    if (end == FanOutEnd::complete || end == FanOutEnd::partial) {
        const bool in_time = m_now <= state.terms.objective_at;
        ++(in_time ? m_report.in_objective : m_report.late);
        m_report.parts_missing += static_cast<std::int64_t>(state.shards.size()) - state.answered;
    } else if (end == FanOutEnd::not_run) {
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
