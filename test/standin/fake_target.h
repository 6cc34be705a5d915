// One target as tests need it: slots, cold start, shedding, stragglers, crashes, and an account of
// everything that must not happen.
//
// A cold target bears `cold_bears` requests at once and `cold_rate_per_s`; it warms with the work
// it does. More than that, or more than `slots` when warm, counts as an overload. A target that is
// overloaded `falls_over_after` times while cold crashes.
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

/// What a target is like.
struct TargetTraits {
    std::string id;
    std::string address;
    int slots = 2;
    int connections = 25;
    int open_ms = 6;
    double service_ms = 4.0;
    double straggler_share = 0.0;
    double straggler_factor = 10.0;
    int cold_bears = 1;
    double cold_rate_per_s = 40.0;
    /// Requests after which a cold target is warm.
    int warm_after = 30;
    int falls_over_after = 20;
    int restart_ms = 1000;
    std::set<std::string> snapshots;
};

/// Everything a target has seen.
struct TargetReport {
    std::int64_t answered = 0;
    std::int64_t started = 0;
    std::int64_t shed = 0;
    std::int64_t overloads = 0;
    /// Overloads while cold, after the target had given any answer that could tell it was cold.
    std::int64_t cold_overloads = 0;
    /// Overloads while cold before any such answer.
    std::int64_t blind_overloads = 0;
    std::int64_t cancelled = 0;
    std::int64_t crashes = 0;
    std::int64_t duplicate_runs = 0;
    std::int64_t connections = 0;
    std::int64_t most_running = 0;
    /// Milliseconds since 1970 at the last start of a request.
    std::int64_t last_start_ms = 0;
};

class FakeTarget {
public:
    /// A target that starts warm or cold. `seed` fixes its service times.
    FakeTarget(TargetTraits traits, bool is_cold, std::uint64_t seed);
    ~FakeTarget();
    FakeTarget(const FakeTarget&) = delete;
    FakeTarget& operator=(const FakeTarget&) = delete;
    FakeTarget(FakeTarget&&) = delete;
    FakeTarget& operator=(FakeTarget&&) = delete;

    /// Turns cold: with `restart` the process ends and comes back, without it nothing is told.
    void turn_cold(bool restart);
    /// Refuses connections until `start` is called.
    void stop();
    void start();
    void set_draining(bool draining);
    void set_snapshots(const std::set<std::string>& snapshots);
    void set_stragglers(double share, double factor);
    void set_service_ms(double service_ms);
    /// Claims each snapshot that is asked for, while its digest tells that it lacks it.
    void set_lying(bool lying);

    TargetReport report() const;
    std::map<std::string, int> runs_by_key() const;
    const TargetTraits& traits() const {
        return m_traits;
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

    TargetTraits m_traits;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::mt19937_64 m_random;
    bool m_cold = true;
    /// True once an answer or a broken connection could have told that the target is cold.
    bool m_cold_told = true;
    bool m_down = false;
    bool m_draining = false;
    bool m_lying = false;
    bool m_stopping = false;
    std::int64_t m_incarnation = 1;
    int m_warm_work = 0;
    int m_cold_overloads_in_a_row = 0;
    int m_running = 0;
    std::set<std::string> m_cancelled;
    std::set<std::string> m_clients;
    std::deque<std::chrono::steady_clock::time_point> m_recent_starts;
    std::map<std::string, int> m_runs;
    TargetReport m_report;
    bool m_restart_due = false;
    std::string m_bound_address;
    std::unique_ptr<ebonymount::HttpServer> m_server;
    std::thread m_restarter;
};

/// Digest that a replica reports for a shard of a snapshot it holds.
std::string digest_of(const std::string& snapshot, const std::string& shard);

}  // namespace standin
