// One caller's request at a front node, from the arrival of its last byte to the response.
//
// Executes the actions of `policy/fan_out`: sends attempts through the target pool, merges parts
// and responds. The object is kept alive by references: from the caller's connection until the
// response, and from attempts that are still in progress after it.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "front/front_state.h"
#include "front/request_log.h"
#include "io/http_listener.h"
#include "platform/call_headers.h"
#include "policy/fan_out.h"

namespace ebonymount {

class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    /// Serves the request: responds at once if it cannot be served, otherwise sends attempts.
    static void serve(FrontState& front, const std::shared_ptr<HttpServerConnection>& connection,
                      HttpRequestMessage request);

    /// The node stops: ends all requests by that time, also those that arrive later. A caller gets
    /// a response that says truly whether the request may have run, rather than a closed
    /// connection.
    static void end_all_by(FrontState& front, Time time);

private:
    /// One shard's part of the response, or the whole response of a request with one shard.
    struct Part {
        std::string signature;
        HttpResponseMessage response;
    };
    struct OpenAttempt {
        std::uint32_t id = 0;
        std::uint32_t shard = 0;
        TargetIndex target = 0;
        PoolCallId call = 0;
        PoolConnection connection;
        Time sent_at{};
        /// Number of requests ahead of this one at the target when it was sent.
        std::int64_t ahead = 0;
        bool was_sent = false;
        bool is_hedge = false;
        bool is_trial = false;
    };

    /// A connection on which an attempt was answered without success. Later attempts carry the same
    /// request id, so a late copy of that response could not be told from their own.
    struct UsedConnection {
        TargetIndex target = 0;
        PoolConnection connection;
    };

    RequestHandler(FrontState& front, std::shared_ptr<HttpServerConnection> connection,
                   HttpRequestMessage request);
    /// Runs a part of the request's work; an exception ends the request.
    template <typename Work>
    void run(const Work& work);
    void end_after_exception();
    bool route_or_refuse();
    void begin();
    FanOutParameters fan_out_parameters(const Route& route) const;
    Time last_possible_response(Time deadline) const;
    void advance(const FanOutEvent& event);
    FanOutContext fan_out_context() const;
    void execute(const FanOutAction& action);
    void start_attempt(const StartAttempt& action);
    /// False if, since the target was chosen, it was withdrawn, is leaving or turned this node
    /// away, or the request ran out of time or became suspected.
    bool may_still_send(TargetIndex target, ServiceIndex service, bool is_trial) const;
    ResponseOwner owner_of(const HttpResponseMessage& response) const;
    const std::string& service_name(ServiceIndex service) const;
    /// True if the request has crashed targets of so many of the services that the others cannot
    /// serve it.
    bool is_quarantined(const std::vector<ServiceIndex>& services) const;
    /// Takes the trial of a request that is quarantined for one of the services. False if it is not
    /// quarantined, or this node has no trial yet, which it then claims if one is due.
    bool take_trial_if_quarantined(const std::vector<ServiceIndex>& services);
    bool has_open_trial() const;
    std::vector<PoolConnection> used_connections_to(TargetIndex target) const;
    void withdraw_attempt(const WithdrawAttempt& action);
    void report_if_trial(const OpenAttempt& attempt, TrialEnd end);
    void on_attempt_sent(std::uint32_t id);
    void on_attempt_end(std::uint32_t id, CallStatus call_status, HttpResponseMessage response);
    FanOutAttemptStatus classify_outcome(const OpenAttempt& attempt, CallStatus call_status,
                                         HttpResponseMessage& response);
    void report_malformed_signature(const OpenAttempt& attempt, std::size_t bytes);
    void record_outcome(const OpenAttempt& attempt, FanOutAttemptStatus outcome,
                        CallStatus call_status);
    void keep_part(const OpenAttempt& attempt, FanOutAttemptStatus outcome,
                   HttpResponseMessage response);
    /// Drops what the merged response cannot contain: of one part, at most as many records as of
    /// all.
    void keep_merged_records_only(HttpResponseMessage& response) const;
    void finish(const EndRequest& action);
    HttpResponseMessage response_for(const EndRequest& action);
    HttpResponseMessage failure_response(int status, const std::string& cause,
                                         const std::string& verdict, Duration retry_after) const;
    void merge_parts(HttpResponseMessage& response);
    void respond_at_once(int status, const char* reason, Duration retry_after);
    void on_caller_gone();
    void cancel_attempts();
    void cancel_attempts_if_quarantined();
    /// An attempt at the target ended before it was sent.
    void on_not_sent(TargetIndex target);
    void schedule_tick();
    void open_memory_account();
    /// Ends the request, because what is held for it costs too much memory.
    void release_memory();
    void release_parts();
    void charge_memory();
    RequestLogContext log_context() const;

    FrontState& m_front;
    std::shared_ptr<HttpServerConnection> m_connection;
    /// Empty once the request is prepared for targets.
    HttpRequestMessage m_request;
    bool m_is_head = false;
    platform::CallerHeaders m_caller_headers;
    platform::PreparedRequest m_prepared;
    std::shared_ptr<const FleetView> m_view;
    std::size_t m_route = 0;
    std::uint64_t m_fingerprint = 0;
    FanOutState m_state;
    std::vector<OpenAttempt> m_open_attempts;
    std::vector<UsedConnection> m_used_connections;
    std::vector<std::optional<Part>> m_parts;
    std::size_t m_parts_memory = 0;
    /// What the request holds itself and what its attempts hold are charged to this account.
    std::shared_ptr<MemoryAccount> m_account;
    MemoryCharge m_memory;
    bool m_short_of_memory = false;
    std::deque<FanOutEvent> m_events;
    bool m_advancing = false;
    bool m_trial_started = false;
    bool m_caller_gone = false;
    /// An attempt may have reached a target.
    bool m_has_sent = false;
    bool m_ended_by_exception = false;
    std::optional<TimerId> m_timer;
    Time m_timer_due{};
};

}  // namespace ebonymount
