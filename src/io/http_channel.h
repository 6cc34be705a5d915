// Client side of one HTTP/1.1 connection on an event loop, with one call at a time.
//
// A channel reports how far a call got, because that decides whether the request may have run.
// Responses that belong to another call are skipped; a connection with unexpected bytes is never
// reused.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "io/event_loop.h"
#include "io/http_message.h"
#include "io/memory_budget.h"
#include "io/tcp_stream.h"

namespace ebonymount {

/// How a call on a channel ended.
enum class CallStatus : std::uint8_t {
    answered,   ///< The whole response arrived.
    not_sent,   ///< The connection failed or was closed before the request was sent.
    broken,     ///< The connection ended before the whole response arrived.
    rejected,   ///< A new connection ended before its first response; may be a connection limit.
    malformed,  ///< The received bytes are not an HTTP response, or exceed a limit.
    aborted,    ///< This side closed the connection after the request was sent.
};

/// Name of the value in logs.
const char* name_of(CallStatus status);

/// Which call a response on a channel belongs to.
enum class ResponseOwner : std::uint8_t {
    this_call,
    other_call,  ///< An earlier call; the response is skipped.
    /// The response does not say, and is taken for this call's. Its connection is not used again: a
    /// second copy of it would be taken for the next call's response.
    unknown,
};

/// One request on a channel.
struct ChannelCall {
    /// Encodes the request; called at the moment of sending.
    std::function<std::string()> make_request;
    /// Which call a response belongs to. May be empty: every response is this call's.
    std::function<ResponseOwner(const HttpResponseMessage&)> owner_of;
    /// Called at most once, after the bytes were written to the connection or queued for it.
    std::function<void()> on_sent;
    /// Called once. The response is only set for `CallStatus::answered`.
    std::function<void(CallStatus status, HttpResponseMessage response)> on_end;
    /// Checked at the moment of sending, which may be later than `start`; if it is false, the call
    /// ends as `not_sent`. May be empty.
    std::function<bool()> may_send;
    bool is_head = false;
    /// A response beyond these limits is malformed.
    HttpLimits limits;
    /// Account that the unsent request and the response being read are charged to; may be null.
    std::shared_ptr<MemoryAccount> memory;
};

class HttpChannel : public SocketOwner, public std::enable_shared_from_this<HttpChannel> {
public:
    /// Starts to connect. `on_change` is called whenever the channel becomes idle or closes. Null
    /// when the address is invalid or the system refuses at once.
    static std::shared_ptr<HttpChannel> open(EventLoop& loop, const std::string& address,
                                             std::function<void(HttpChannel&)> on_change);

    /// Starts a call, which is sent once the channel is connected. The channel must have no call.
    void start(ChannelCall call);

    /// Withdraws a call that has not been sent; the channel stays open. False if there is no such
    /// call.
    bool withdraw();

    /// Closes the connection; a pending call ends as `aborted` or `not_sent`.
    void close();

    bool is_closed() const;
    bool is_connecting() const;
    /// True when connected and without a call.
    bool is_idle() const;
    /// True when a call is waiting to be sent or in flight.
    bool has_call() const;

    /// True once the peer has accepted the connection, also after it was closed.
    bool has_connected() const;
    /// True if nothing listens at the address.
    bool was_refused() const;

    /// The address that the channel was opened to.
    const std::string& address() const;

    /// Time of the connect's start or completion, or of the last response, whichever is latest.
    Time last_used() const;

    /// Idle time after which the peer may close the connection.
    Duration idle_limit() const;

    void on_ready(int modes) override;
    void on_exception() override;

private:
    enum class Phase : std::uint8_t { connecting, idle, awaiting_response, closed };

    HttpChannel(EventLoop& loop, TcpStream stream, std::string address,
                std::function<void(HttpChannel&)> on_change);
    void watch();
    void finish_connect();
    void send_call();
    void read();
    void read_responses(StreamState stream_state);
    void charge_memory();
    ResponseOwner owner_of(const HttpResponseMessage& response) const;
    void complete(HttpResponseMessage response, ResponseOwner owner);
    void fail(CallStatus status);
    void report_change();
    void close_socket();

    EventLoop& m_loop;
    TcpStream m_stream;
    std::string m_address;
    std::function<void(HttpChannel&)> m_on_change;
    Phase m_phase = Phase::connecting;
    bool m_has_call = false;
    bool m_has_connected = false;
    bool m_was_refused = false;
    bool m_has_responded = false;
    /// Responses to other calls that were skipped during the present one.
    int m_skipped_responses = 0;
    ChannelCall m_call;
    MemoryCharge m_memory;
    std::string m_input;
    HttpResponseReader m_reader;
    Time m_last_used;
    Duration m_idle_limit;
};

}  // namespace ebonymount
