// Stand-in for a target of the users' platform: slots and a queue, responses with a signature and
// records, and faults such as refusals, errors and lost responses. Single-threaded, on the given
// event loop.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "io/http_listener.h"

namespace standin {

/// Parameters of a target.
struct PlatformTargetParameters {
    std::string id;
    std::string service;
    std::string data_centre;
    std::string address;
    std::int64_t slots = 2;
    /// Maximum number of requests that wait for a slot.
    std::size_t max_queued = 12;
    std::size_t max_connections = 30;
    std::size_t max_header_bytes = 1048576;
    ebonymount::Duration service_time = ebonymount::from_ms(6);
    /// Number of records in a response.
    std::size_t records = 30;
};

/// Faults and state of a target, which can change while it runs.
struct TargetBehaviour {
    /// Multiplies the service time.
    double slow_factor = 1.0;
    /// Shares of the requests that are refused, that fail, and whose response is lost after the
    /// run.
    double refused_share = 0.0;
    double failed_share = 0.0;
    double lost_response_share = 0.0;
    bool draining = false;
    /// A request with this path crashes the target when it starts to run; empty for none.
    std::string crashing_path;
    /// The limit that each response names, in requests a second; empty for none.
    std::string limit;
    /// Refusals carry this Retry-After; empty for none.
    std::string retry_after;
    /// Appended to the signature of each response.
    std::string signature_suffix;
    /// Each response says that the target is leaving; it goes on serving.
    bool leaving = false;
};

class PlatformTarget;

/// Callbacks for events at targets.
struct PlatformTargetObserver {
    /// A request for this target arrived; it may still be refused.
    std::function<void(const PlatformTarget&, const ebonymount::HttpRequestMessage&)> on_arrival;
    /// A request starts to run.
    std::function<void(const PlatformTarget&, const std::string& request_id)> on_run;
    /// A request has run, and its response has `body` and `signature`; `success` is false if it
    /// failed. The response may still be lost.
    std::function<void(const PlatformTarget&, const std::string& request_id,
                       const std::string& signature, const std::string& body, bool success)>
        on_response;
    /// The client closed its connection before the request had finished.
    std::function<void(const std::string& request_id)> on_cancelled;
};

class PlatformTarget : public std::enable_shared_from_this<PlatformTarget> {
public:
    /// Starts to listen; throws std::runtime_error if the address is taken.
    static std::shared_ptr<PlatformTarget> open(ebonymount::EventLoop& loop,
                                                const PlatformTargetParameters& parameters,
                                                const PlatformTargetObserver& observer);

    /// Simulates a crash: connections are reset and no more requests are served.
    void crash();

    /// Starts again after a crash, at the same address.
    void restart();

    void set_behaviour(const TargetBehaviour& behaviour);
    const TargetBehaviour& behaviour() const;
    const PlatformTargetParameters& parameters() const;
    bool is_down() const;

private:
    using Connection = std::shared_ptr<ebonymount::HttpServerConnection>;
    struct Work {
        Connection connection;
        std::string request_id;
        std::string path;
        bool cancelled = false;
        bool done = false;
    };

    PlatformTarget(ebonymount::EventLoop& loop, const PlatformTargetParameters& parameters,
                   const PlatformTargetObserver& observer);
    void on_request(const Connection& connection, const ebonymount::HttpRequestMessage& request);
    void listen();
    void run(const std::shared_ptr<Work>& work);
    void finish(const std::shared_ptr<Work>& work);
    void start_queued();
    void add_reports(ebonymount::HttpResponseMessage& response) const;
    void refuse(const Connection& connection, int status, const std::string& request_id);
    std::string make_records();

    ebonymount::EventLoop& m_loop;
    PlatformTargetParameters m_parameters;
    PlatformTargetObserver m_observer;
    TargetBehaviour m_behaviour;
    std::shared_ptr<ebonymount::HttpListener> m_listener;
    ebonymount::Random m_random;
    std::int64_t m_running = 0;
    std::deque<std::shared_ptr<Work>> m_queued;
    std::int64_t m_response_count = 0;
    bool m_down = false;
};

}  // namespace standin
