// One caller's request at the front, from its last byte to the answer.
//
// Carries out the actions of `policy/fan_out`: sends tries through the target pool, merges parts
// and answers. The object lives as long as something refers to it: the caller's connection while
// it waits, or a try that is still under way after the answer.
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
    /// Serves the request: answers at once what cannot be served, else sends tries.
    static void serve(FrontState& front, const std::shared_ptr<HttpServerConnection>& connection,
                      HttpRequestMessage request);

private:
    /// A part of the answer, or the whole answer of a request with one shard.
    struct Part {
        std::string signature;
        HttpResponseMessage answer;
    };
    struct OpenAttempt {
        std::uint32_t id = 0;
        std::uint32_t shard = 0;
        TargetIndex target = 0;
        PoolCallId call = 0;
        Time sent{};
        /// Requests that were ahead at the target when this one was sent.
        std::int64_t ahead = 0;
        bool was_sent = false;
        bool hedge = false;
    };

    RequestHandler(FrontState& front, std::shared_ptr<HttpServerConnection> connection,
                   HttpRequestMessage request);
    bool find_route();
    void begin();
    FanOutParameters terms_of(const Route& route) const;
    void advance(const FanOutEvent& event);
    void carry_out(const FanOutAction& action);
    void start_attempt(const StartAttempt& action);
    void withdraw_attempt(const WithdrawAttempt& action);
    void on_attempt_sent(std::uint32_t id);
    void on_attempt_end(std::uint32_t id, CallStatus end, HttpResponseMessage answer);
    FanOutAttemptStatus judge(const OpenAttempt& attempt, CallStatus end,
                              HttpResponseMessage& answer);
    void learn(const OpenAttempt& attempt, FanOutAttemptStatus end, CallStatus call_end);
    void keep_part(const OpenAttempt& attempt, FanOutAttemptStatus end, HttpResponseMessage answer);
    void finish(const EndRequest& action);
    HttpResponseMessage answer_for(const EndRequest& action);
    void answer_merged(HttpResponseMessage& answer);
    void answer_at_once(int status, const char* reason, Duration retry_after);
    void on_caller_gone();
    void schedule_tick();
    RequestLogContext facts() const;

    FrontState& m_front;
    std::shared_ptr<HttpServerConnection> m_connection;
    HttpRequestMessage m_request;
    platform::CallerHeaders m_caller;
    platform::PreparedRequest m_prepared;
    std::shared_ptr<const FleetView> m_view;
    std::size_t m_route = 0;
    std::uint64_t m_fingerprint = 0;
    FanOutState m_state;
    std::vector<OpenAttempt> m_open;
    std::vector<std::optional<Part>> m_parts;
    std::deque<FanOutEvent> m_events;
    bool m_advancing = false;
    bool m_caller_gone = false;
    std::optional<TimerId> m_timer;
    Time m_timer_due{};
};

}  // namespace ebonymount
