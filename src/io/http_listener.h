// The server's side of HTTP/1.1 on an event loop: a listener and its connections.
//
// A connection serves one request at a time, in order, and tells the request's handler when the
// caller has left. No connection holds a thread.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "io/event_loop.h"
#include "io/http_message.h"
#include "io/tcp_stream.h"

namespace ebonymount {

class HttpServerConnection;

/// Takes one request; must see to it that `respond` is called once, now or later.
using HttpRequestHandler =
    std::function<void(const std::shared_ptr<HttpServerConnection>&, HttpRequestMessage)>;

/// What a listener allows its callers.
struct HttpListenerOptions {
    HttpLimits limits;
    /// From the first byte of a request to the end of its header.
    Duration header_timeout = from_ms(10000);
    /// Longest silence between requests, or within a body.
    Duration idle_timeout = from_ms(60000);
    std::size_t max_connections = 10000;
};

/// Why a connection was ended by this side, for counters and logs.
struct HttpListenerCounts {
    std::int64_t accepted = 0;
    std::int64_t refused_over_limit = 0;
    std::int64_t malformed = 0;
    std::int64_t timed_out = 0;

    friend bool operator==(const HttpListenerCounts&, const HttpListenerCounts&) = default;
};

class HttpListener : public SocketOwner, public std::enable_shared_from_this<HttpListener> {
public:
    /// Listens on an IPv4 address and port. Requests go to `handler` on the loop's thread.
    static Result<std::shared_ptr<HttpListener>> listen(EventLoop& loop, const std::string& address,
                                                        const HttpListenerOptions& options,
                                                        HttpRequestHandler handler);

    /// Limits for connections from now on.
    void set_options(const HttpListenerOptions& options);

    /// Ends every connection after the request that it serves; new connections get one request.
    void close_after_answers();

    /// Takes no new connections.
    void stop_accepting();

    /// Closes the connections that serve no request and hold no part of one.
    void close_idle();

    /// Stops accepting and closes everything.
    void close();

    /// Ends connections that are silent for too long. Called every fraction of a second.
    void sweep(Time now);

    /// Requests that are read in part or served.
    std::size_t busy_connections() const;
    std::size_t connections() const;
    const HttpListenerCounts& counts() const;
    /// The address with the port that the system chose if none was given.
    std::string address() const;

    void on_ready(int modes) override;

private:
    friend class HttpServerConnection;

    HttpListener(EventLoop& loop, const Poco::Net::ServerSocket& socket,
                 const HttpListenerOptions& options, HttpRequestHandler handler);
    void forget(HttpServerConnection& connection);

    EventLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
    HttpListenerOptions m_options;
    HttpRequestHandler m_handler;
    HttpListenerCounts m_counts;
    std::map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>> m_connections;
    bool m_closing = false;
    bool m_accepting = true;
};

class HttpServerConnection : public SocketOwner,
                             public std::enable_shared_from_this<HttpServerConnection> {
public:
    /// Answers the request that is being served.
    void respond(HttpResponseMessage answer);

    /// Called once if the caller leaves before it was answered.
    void on_caller_gone(std::function<void()> handler);

    /// Closes the connection without an answer, as a process that crashes would.
    void drop();

    /// Address of the other end.
    std::string client_address() const;

    /// When the first byte of the request being served arrived.
    Time request_began() const;

    void on_ready(int modes) override;

private:
    friend class HttpListener;
    enum class Phase : std::uint8_t { reading, serving, writing, lingering, closed };

    HttpServerConnection(std::shared_ptr<HttpListener> listener, TcpStream stream);
    void watch();
    void read();
    void read_request();
    void reject(int status, const std::string& message);
    void finish_answer();
    void close();
    void sweep(Time now);
    bool is_idle() const;

    std::shared_ptr<HttpListener> m_listener;
    TcpStream m_stream;
    Phase m_phase = Phase::reading;
    std::string m_input;
    HttpRequestReader m_reader;
    ReadState m_read_state = ReadState::nothing;
    bool m_sent_continue = false;
    bool m_is_head = false;
    bool m_keep_alive = true;
    std::function<void()> m_on_gone;
    Time m_last_byte;
    Time m_request_began;
};

}  // namespace ebonymount
