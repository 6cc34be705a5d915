// Stand-in for one target of ebonymountd: slots, cold start, shedding, stragglers and crashes.
// Counts what the query tier must prevent, such as overloads and duplicate runs.
//
// A cold target accepts `cold_slots` concurrent requests and `cold_rate_per_s` requests per second.
// The rate limit grows by `cold_rate_per_s` with each request that the target serves. A request
// beyond these limits, or beyond `slots` when the target is warm, is shed and counts as an
// overload. A cold target crashes after `crash_after_overloads` overloads.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "io/http_server.h"

namespace standin {

/// Parameters of a target.
struct FakeTargetParameters {
    std::string id;
    std::string address;
    int slots = 2;
    /// Cap on connections; the stand-in does not enforce it.
    int connections = 25;
    /// Additional delay of the first request from a client.
    int open_ms = 6;
    /// Mean service time without stragglers.
    double service_ms = 4.0;
    /// Share of the requests that take `straggler_factor` times as long.
    double straggler_share = 0.0;
    double straggler_factor = 10.0;
    int cold_slots = 1;
    double cold_rate_per_s = 40.0;
    /// Number of served requests after which a cold target is warm.
    int warm_after = 30;
    int crash_after_overloads = 20;
    /// Time from a crash to the restart.
    int restart_ms = 1000;
    /// Ids of the snapshots that the target has; if empty, it has every snapshot.
    std::set<std::string> snapshots;
};

/// Counters of a target since its creation; restarts do not reset them.
struct TargetReport {
    std::int64_t answered = 0;
    std::int64_t started = 0;
    std::int64_t shed = 0;
    std::int64_t overloads = 0;
    /// Overloads while cold, after a response or a broken connection from which clients could
    /// detect that the target is cold.
    std::int64_t cold_overloads = 0;
    /// Overloads while cold, before clients could detect it.
    std::int64_t blind_overloads = 0;
    /// Requests that ended early: cancelled by the client, or out of time.
    std::int64_t cancelled = 0;
    std::int64_t crashes = 0;
    /// Runs of an idempotency key beyond its first.
    std::int64_t duplicate_runs = 0;
    std::int64_t connections = 0;
    std::int64_t max_running = 0;
    /// Time of the last start of a request, in milliseconds since 1970.
    std::int64_t last_start_ms = 0;
};

class FakeTarget {
public:
    /// Starts a target, cold or warm. `seed` determines its service times.
    FakeTarget(FakeTargetParameters parameters, bool is_cold, std::uint64_t seed);
    ~FakeTarget();
    FakeTarget(const FakeTarget&) = delete;
    FakeTarget& operator=(const FakeTarget&) = delete;
    FakeTarget(FakeTarget&&) = delete;
    FakeTarget& operator=(FakeTarget&&) = delete;

    /// Makes the target cold. With `restart`, it goes down, breaks its connections and starts again
    /// as a new incarnation. Without it, clients cannot detect that it is cold.
    void make_cold(bool restart);
    /// Closes the port and all connections until `start` is called.
    void stop();
    void start();
    void set_draining(bool draining);
    void set_snapshots(const std::set<std::string>& snapshots);
    void set_stragglers(double share, double factor);
    void set_service_ms(double service_ms);
    /// If `serving`, the target also serves requests for snapshots that it does not have. The
    /// digest in those responses is wrong, which lets clients detect it.
    void set_serving_missing_snapshots(bool serving);

    TargetReport report() const;
    /// Number of runs of each idempotency key.
    std::map<std::string, int> runs_by_key() const;
    const FakeTargetParameters& parameters() const {
        return m_parameters;
    }
    /// Address with the port in use.
    std::string address() const;

private:
    ebonymount::HandlerResponse handle(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse run(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse cancel(const ebonymount::HandlerRequest& call);
    bool admit_locked();
    void count_overload_locked();
    double service_time_locked();
    void crash_locked();
    void restart_loop();

    FakeTargetParameters m_parameters;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::mt19937_64 m_random;
    bool m_cold = true;
    /// True once a response or a broken connection lets clients detect that the target is cold.
    bool m_cold_detectable = true;
    bool m_down = false;
    bool m_draining = false;
    bool m_serves_missing_snapshots = false;
    bool m_stopping = false;
    std::int64_t m_incarnation = 1;
    int m_served_since_cold = 0;
    int m_cold_overload_count = 0;
    int m_running = 0;
    std::set<std::string> m_cancelled;
    std::set<std::string> m_clients;
    std::deque<std::chrono::steady_clock::time_point> m_recent_arrivals;
    std::map<std::string, int> m_runs;
    TargetReport m_report;
    bool m_restart_due = false;
    std::string m_bound_address;
    std::unique_ptr<ebonymount::HttpServer> m_server;
    std::thread m_restarter;
};

/// Digest that a replica reports for a shard of a snapshot that it has.
std::string digest_of(const std::string& snapshot, const std::string& shard);

}  // namespace standin
