// One caller's connection to an HTTP/1.1 server on an event loop.
//
// A connection serves one request at a time, in order, and notifies the request's handler when the
// caller disconnects. What it holds for the caller is charged to the listener's memory budget.
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

class HttpListener;

class HttpServerConnection : public SocketOwner,
                             public std::enable_shared_from_this<HttpServerConnection> {
public:
    /// Sends the response to the request being served; ignored when none is.
    void respond(HttpResponseMessage response);

    /// Sets a callback that runs once if the connection closes before `respond`, as when the caller
    /// disconnects.
    void on_caller_gone(std::function<void()> handler);

    /// Resets the connection without a response, as a crashing process would.
    void drop();

    /// Address of the caller's end of the connection.
    std::string client_address() const;

    /// When the first byte of the request being served arrived.
    Time request_started_at() const;

    /// True if the request being served is the first one on the connection.
    bool is_first_request() const;

    void on_ready(int modes) override;
    void on_exception() override;

private:
    friend class HttpListener;
    enum class Phase : std::uint8_t { reading, serving, writing, lingering, closed };
    /// What has exceeded its time limit.
    enum class Overdue : std::uint8_t { nothing, header, body, connection };

    HttpServerConnection(std::shared_ptr<HttpListener> listener, TcpStream stream);
    /// Opens the connection's account and starts to read.
    void start();
    /// Takes over the listener's message limits, which have changed.
    void apply_limits();
    void watch();
    /// Enough of the caller's next requests is buffered for now.
    bool is_read_ahead_full() const;
    void charge_memory();
    /// Lets go of what is held for a caller that costs too much memory.
    void release_memory();
    void discard_input();
    void read();
    void read_request();
    void serve(HttpRequestMessage request);
    /// Reads a request that was received together with an earlier one.
    void read_buffered();
    void reject(int status, const std::string& message, const char* retry_after_s = nullptr);
    /// Answers a request whose handler ended with an exception.
    void respond_to_exception();
    StreamState send(std::string head, std::string body);
    void finish_response();
    void close();
    Overdue overdue(Time now) const;
    /// Ends what has exceeded a time limit.
    void end_overdue(Time now);
    bool is_idle() const;
    /// True if no request is in progress and the next step is the caller's: to send, or to read.
    bool is_waiting(Time now) const;
    /// When the connection was accepted, or its last response was sent or got stuck.
    Time waiting_since() const;
    bool has_completed_request() const;

    std::shared_ptr<HttpListener> m_listener;
    TcpStream m_stream;
    /// Modes of the poll set that the event loop watches for.
    int m_watched_modes = 0;
    Phase m_phase = Phase::reading;
    std::string m_input;
    HttpRequestReader m_reader;
    ReadState m_read_state = ReadState::nothing;
    bool m_sent_continue = false;
    bool m_is_head = false;
    bool m_keep_alive = true;
    /// The listener will call `read_buffered`.
    bool m_is_queued = false;
    std::function<void()> m_on_caller_gone;
    MemoryCharge m_memory;
    std::int64_t m_requests = 0;
    /// When the connection was accepted or the last response was sent.
    Time m_ready_since;
    Time m_last_byte_at;
    /// When the system last accepted bytes of a response.
    Time m_last_sent_at;
    Time m_request_started_at;
};

}  // namespace ebonymount
