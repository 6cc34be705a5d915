// The client's side of one HTTP/1.1 connection on an event loop: one call at a time.
//
// A channel tells how far a call got, because that decides whether the request may have run.
// Answers that belong to another call are passed over; a connection that holds bytes nobody asked
// for is never used again.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "io/event_loop.h"
#include "io/http_message.h"
#include "io/tcp_stream.h"

namespace ebonymount {

/// How a call on a channel ended.
enum class CallStatus : std::uint8_t {
    answered,   ///< The whole answer is there.
    not_sent,   ///< The connection failed before a byte of the request was sent.
    broken,     ///< The connection ended before the whole answer was there.
    rejected,   ///< A new connection ended before its first answer; may be a connection limit.
    malformed,  ///< What came is no HTTP answer.
    aborted,    ///< This side gave the call up after it was sent.
};

/// Name of an end in logs.
const char* name_of(CallStatus end);

/// One request on a channel.
struct ChannelCall {
    /// Makes the bytes to send, at the moment of sending.
    std::function<std::string()> make_request;
    /// True for an answer that belongs to this call.
    std::function<bool(const HttpResponseMessage&)> is_mine;
    /// Called once, when the bytes were handed to the connection.
    std::function<void()> on_began;
    /// Called once. `answer` is only set for `CallStatus::answered`.
    std::function<void(CallStatus end, HttpResponseMessage answer)> on_end;
    bool is_head = false;
};

class HttpChannel : public SocketOwner, public std::enable_shared_from_this<HttpChannel> {
public:
    /// Begins to connect. `on_change` is called whenever the channel becomes idle or closes.
    static std::shared_ptr<HttpChannel> open(EventLoop& loop, const std::string& address,
                                             std::function<void(HttpChannel&)> on_change);

    /// Takes a call, which is sent once the connection is there. Only on a channel without one.
    void start(ChannelCall call);

    /// Takes a call back that has not been sent; the channel stays. False if it was sent.
    bool withdraw();

    /// Closes the connection; a call that is open ends as `aborted` or `not_sent`.
    void close();

    bool is_closed() const;
    bool is_connecting() const;
    /// True when connected and without a call.
    bool is_idle() const;
    /// True when a call waits or is under way.
    bool has_call() const;

    /// The address that the channel was opened to.
    const std::string& address() const;

    /// When the connection was begun, or the last answer came.
    Time last_used() const;

    /// After this much idle time the other end may close the connection.
    Duration idle_limit() const;

    void on_ready(int modes) override;

private:
    enum class Phase : std::uint8_t { connecting, idle, waiting, closed };

    HttpChannel(EventLoop& loop, TcpStream stream, std::string address,
                std::function<void(HttpChannel&)> on_change);
    void watch();
    void finish_connect();
    void send_call();
    void read();
    void read_answers(StreamState stream_state);
    void complete(HttpResponseMessage answer);
    void fail(CallStatus end);
    void close_socket();

    EventLoop& m_loop;
    TcpStream m_stream;
    std::string m_address;
    std::function<void(HttpChannel&)> m_on_change;
    Phase m_phase = Phase::connecting;
    bool m_has_call = false;
    bool m_has_answered = false;
    ChannelCall m_call;
    std::string m_input;
    HttpResponseReader m_reader;
    Time m_last_used;
    Duration m_idle_limit;
};

}  // namespace ebonymount
