// A node on the users' platform: takes callers' requests and sends them to targets itself.
//
// One event loop serves callers, targets, the platform's store, the balancer and metrics. What
// the node knows comes from the store: configuration, targets, data centres out of service, and
// how many nodes share the fleet's limits. It keeps the last it has heard while the store is away.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "front/fleet_watcher.h"
#include "front/front_state.h"
#include "io/http_listener.h"
#include "platform/settings.h"

namespace ebonymount {

/// What signals ask of a running front. Set from signal handlers, read by the loop.
struct FrontSignals {
    std::atomic<bool> stop{false};
    std::atomic<bool> reload{false};
};

class Front {
public:
    /// Listens and begins to read the store. `settings_file` is read again on reload.
    static Result<std::unique_ptr<Front>> start(const platform::Settings& settings,
                                                const std::string& settings_file,
                                                std::int64_t metrics_port, FrontSignals& signals);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;
    Front(Front&&) = delete;
    Front& operator=(Front&&) = delete;

    /// Serves until asked to stop and every request that was read is answered.
    void run();

private:
    Front(const platform::Settings& settings, const std::string& settings_file,
          FrontSignals& signals);
    Result<Done> listen(std::int64_t metrics_port);
    void follow_store();
    void apply_limits(const CallerLimits& limits);
    void split_fleet_limits();
    void serve_ready(const std::shared_ptr<HttpServerConnection>& connection,
                     const HttpRequestMessage& request) const;
    void serve_metrics(const std::shared_ptr<HttpServerConnection>& connection,
                       const HttpRequestMessage& request);
    void housekeep();
    void reload_settings(bool asked);
    void begin_stop();
    void continue_stop(Time now);
    bool is_ready() const;

    platform::Settings m_settings;
    std::string m_settings_file;
    FrontSignals& m_signals;
    EventLoop m_loop;
    Metrics m_metrics;
    FrontState m_state;
    std::shared_ptr<HttpListener> m_callers;
    std::shared_ptr<HttpListener> m_ready;
    std::shared_ptr<HttpListener> m_metrics_listener;
    std::unique_ptr<FleetWatcher> m_follower;
    std::int64_t m_nodes = 0;
    std::optional<Time> m_stopping_since;
    Time m_next_settings_check{};
    std::string m_settings_text;
};

}  // namespace ebonymount
