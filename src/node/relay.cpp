#include "node/relay.h"

namespace ebonymount {
namespace {

constexpr int CANCEL_THREADS = static_cast<int>(CANCEL_CONNECTIONS);

std::vector<PlacedTarget> targets_in(const RoutingView& view, const std::string& data_centre) {
    std::vector<PlacedTarget> placed_targets;
    for (const auto& [service, placement] : view.placements) {
        const ServiceRow* row = find_row(view.configuration, service);
        for (const Target& target : placement.targets) {
            if (target.data_centre == data_centre && row != nullptr) {
                placed_targets.push_back({service, target, owning_group(view, target)});
            }
        }
    }
    return placed_targets;
}

std::string worker_key(const std::string& service, const std::string& target) {
    return service + "/" + target;
}

}  // namespace

Relay::Relay(NodeState& state) : m_state(state), m_cancel_tasks(CANCEL_THREADS) {}

void Relay::submit(const WireQuery& query, const OutcomeSink& sink) {
    const Time now = monotonic_now();
    const std::shared_ptr<const WireQuery> shared_query = std::make_shared<const WireQuery>(query);
    for (const WireSubQuery& item : query.items) {
        const std::shared_ptr<RelayJob> job = std::make_shared<RelayJob>();
        job->query = shared_query;
        job->item = item;
        job->received = now;
        job->deadline = now + Duration(query.remaining_us);
        job->sink = sink;
        const std::shared_ptr<TargetWorker> worker =
            find_worker(worker_key(query.service, item.target));
        if (worker != nullptr) {
            worker->submit(job);
            continue;
        }
        WireOutcome outcome;
        outcome.attempt = item.attempt;
        outcome.status = static_cast<std::uint8_t>(AttemptStatus::not_owner);
        outcome.verdict = static_cast<std::uint8_t>(Verdict::not_run);
        sink(outcome);
    }
}

void Relay::cancel(const WireCancel& cancel) {
    WorkerMap workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        workers = m_workers;
    }
    for (const auto& [key, worker] : workers) {
        for (const std::uint64_t attempt : cancel.attempts) {
            const std::shared_ptr<RelayJob> running = worker->cancel(cancel.query_id, attempt);
            if (running != nullptr) {
                m_cancel_tasks.post(
                    [worker = worker, running] { worker->cancel_at_target(*running); });
            }
        }
    }
}

void Relay::open_group(const std::string& group, const AdmissionStates& admissions) {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open_groups.insert(group);
    }
    rebuild_workers(admissions);
}

std::optional<AdmissionStates> Relay::close_group(const std::string& group, Duration timeout) {
    const Time deadline = monotonic_now() + timeout;
    std::vector<std::shared_ptr<TargetWorker>> workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open_groups.erase(group);
        for (auto item = m_workers.begin(); item != m_workers.end();) {
            if (item->second->group() == group) {
                workers.push_back(item->second);
                item = m_workers.erase(item);
            } else {
                ++item;
            }
        }
    }
    AdmissionStates admissions;
    bool idle = true;
    for (const std::shared_ptr<TargetWorker>& worker : workers) {
        worker->close_queue();
    }
    for (const std::shared_ptr<TargetWorker>& worker : workers) {
        const Duration remaining = std::max(Duration::zero(), deadline - monotonic_now());
        idle = worker->wait_idle(remaining) && idle;
        admissions[worker->target().id] = worker->admission();
    }
    if (!idle) {
        return std::nullopt;
    }
    return admissions;
}

void Relay::apply_view() {
    rebuild_workers({});
}

void Relay::rebuild_workers(const AdmissionStates& admissions) {
    const std::shared_ptr<const RoutingView> view = m_state.view();
    const std::vector<PlacedTarget> placed_targets = targets_in(*view, m_state.self().data_centre);
    WorkerMap removed;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        WorkerMap rebuilt;
        for (const PlacedTarget& placed_target : placed_targets) {
            if (m_open_groups.count(placed_target.group) > 0) {
                const std::string key = worker_key(placed_target.service, placed_target.target.id);
                rebuilt[key] = worker_for(key, placed_target, admissions);
            }
        }
        removed.swap(m_workers);
        m_workers = std::move(rebuilt);
        const auto is_kept = [this](const auto& item) {
            const auto found = m_workers.find(item.first);
            return found != m_workers.end() && found->second == item.second;
        };
        std::erase_if(removed, is_kept);
    }
    for (const auto& [key, worker] : removed) {
        worker->close_queue();
    }
}

/// Returns the existing worker of the target if address and group are unchanged, or a new one.
/// Called with the lock held.
std::shared_ptr<TargetWorker> Relay::worker_for(const std::string& key,
                                                const PlacedTarget& placed_target,
                                                const AdmissionStates& admissions) {
    const auto existing = m_workers.find(key);
    const bool is_unchanged = existing != m_workers.end() &&
                              existing->second->target().address == placed_target.target.address &&
                              existing->second->group() == placed_target.group;
    if (is_unchanged) {
        existing->second->add_slot_threads();
        return existing->second;
    }
    const auto handed_over = admissions.find(placed_target.target.id);
    const AdmissionState admission =
        handed_over == admissions.end() ? AdmissionState{} : handed_over->second;
    return std::make_shared<TargetWorker>(m_state, placed_target.service, placed_target.target,
                                          placed_target.group, admission);
}

std::vector<TargetStatus> Relay::status() const {
    WorkerMap workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        workers = m_workers;
    }
    std::vector<TargetStatus> result;
    for (const auto& [key, worker] : workers) {
        result.push_back(worker->status());
    }
    return result;
}

void Relay::stop() {
    m_cancel_tasks.stop();
    WorkerMap workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        workers.swap(m_workers);
        m_open_groups.clear();
    }
}

std::shared_ptr<TargetWorker> Relay::find_worker(const std::string& key) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_workers.find(key);
    return found == m_workers.end() ? nullptr : found->second;
}

}  // namespace ebonymount
