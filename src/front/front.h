// A front node on the users' platform: accepts callers' requests and sends them to targets itself.
//
// One event loop handles callers, targets, the platform's store, the load balancer and metrics. The
// node gets its state from the store: configuration, targets, data centres out of service, and how
// many nodes share the fleet's limits. It keeps the last known state while the store is
// unavailable.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "front/fleet_watcher.h"
#include "front/front_state.h"
#include "io/http_listener.h"
#include "platform/settings.h"

namespace ebonymount {

/// Requests from signal handlers to a running front. Set by the handlers, read by the event loop.
struct FrontSignals {
    std::atomic<bool> stop{false};
    std::atomic<bool> reload{false};
};

/// How often limits on what callers may hold have taken effect since the start.
struct ClientLimitCounts {
    std::int64_t memory_releases = 0;
    /// Of connections: closed to make room, closed at once, and not accepted.
    std::int64_t evicted = 0;
    std::int64_t refused = 0;
    std::int64_t failed_accepts = 0;
    /// Requests that did not arrive in time.
    std::int64_t timed_out = 0;
    /// Connections to targets that could not be opened.
    std::int64_t refused_to_targets = 0;

    friend bool operator==(const ClientLimitCounts&, const ClientLimitCounts&) = default;
};

class Front {
public:
    /// Opens the listeners and starts to read the store; an error if callers or the load balancer
    /// cannot be served. `settings_file` is read again on reload.
    static Result<std::unique_ptr<Front>> start(const platform::Settings& settings,
                                                const std::string& settings_file,
                                                std::int64_t metrics_port, FrontSignals& signals);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;
    Front(Front&&) = delete;
    Front& operator=(Front&&) = delete;

    /// Serves until a stop is requested and either every request that was read has its response or
    /// the grace period is almost over.
    void run();

private:
    Front(const platform::Settings& settings, const std::string& settings_file,
          FrontSignals& signals);
    Result<Done> listen(std::int64_t metrics_port);
    void start_fleet_watcher();
    void apply_caller_limits(const RouteTable& table);
    /// Divides the memory and the descriptors of the machine that the settings state.
    void apply_machine_limits();
    void split_fleet_limits();
    void serve_readiness(const std::shared_ptr<HttpServerConnection>& connection,
                         const HttpRequestMessage& request) const;
    void serve_metrics(const std::shared_ptr<HttpServerConnection>& connection,
                       const HttpRequestMessage& request);
    void housekeep();
    void sweep(Time now);
    /// Reads the settings again if that was requested, or is due.
    void check_settings(Time now);
    void report_stall(Time now);
    HttpListenerCounts counts_of_all_listeners() const;
    /// Logs what callers' limits have ended since the last report, at most one line a second.
    void report_client_limits(Time now);
    void reload_settings(bool requested);
    void begin_stop();
    void continue_stop(Time now);
    bool is_ready() const;

    platform::Settings m_settings;
    std::string m_settings_file;
    FrontSignals& m_signals;
    EventLoop m_loop;
    Metrics m_metrics;
    FrontState m_state;
    std::shared_ptr<HttpListener> m_caller_listener;
    std::shared_ptr<HttpListener> m_ready_listener;
    std::shared_ptr<HttpListener> m_metrics_listener;
    std::unique_ptr<FleetWatcher> m_fleet_watcher;
    /// Names of the registered nodes with this one; empty until they are known.
    std::vector<std::string> m_node_names;
    std::optional<Time> m_stopping_since;
    Time m_next_settings_check{};
    Time m_next_housekeeping{};
    Time m_next_limit_report{};
    ClientLimitCounts m_reported_limits;
    std::string m_settings_text;
};

}  // namespace ebonymount
