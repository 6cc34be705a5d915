// Accepts the connections of an HTTP/1.1 server on an event loop. No connection occupies a thread.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "io/event_loop.h"
#include "io/http_message.h"
#include "io/http_server_connection.h"
#include "io/memory_budget.h"

namespace ebonymount {

/// Handles one request; must cause one call of `respond` or `drop`, at once or later.
using HttpRequestHandler =
    std::function<void(const std::shared_ptr<HttpServerConnection>&, HttpRequestMessage)>;

/// What a listener does with a new connection at its limit.
enum class AtConnectionLimit : std::uint8_t {
    make_room,   ///< Closes others that wait for their callers; refuses it only if there are none.
    refuse_new,  ///< Closes the new connection.
};

/// Limits and timeouts of a listener's connections.
struct HttpListenerOptions {
    HttpLimits limits;
    /// Maximum time from the first byte of a request to the end of its header.
    Duration header_timeout = from_ms(10000);
    /// Maximum time from the first byte of a request to the end of its body.
    Duration request_timeout = from_ms(3600000);
    /// Maximum time without a received byte between requests or within a body, and without a byte
    /// that the caller takes of a response.
    Duration idle_timeout = from_ms(60000);
    std::size_t max_connections = 10000;
    AtConnectionLimit at_connection_limit = AtConnectionLimit::make_room;
    /// Budget of the memory that is held for callers; null for no limit.
    std::shared_ptr<MemoryBudget> memory;
};

/// Counts of accepted connections, and of connections ended by this side, by reason.
struct HttpListenerCounts {
    std::int64_t accepted = 0;
    /// Closed at once, as the limit was reached and all others were in use.
    std::int64_t refused_over_limit = 0;
    /// Closed without a request in progress, to make room for new connections.
    std::int64_t evicted = 0;
    /// Failed accepts, as the process or the system had no descriptor or memory left.
    std::int64_t failed_accepts = 0;
    std::int64_t malformed = 0;
    std::int64_t timed_out = 0;

    HttpListenerCounts& operator+=(const HttpListenerCounts& other);
    friend bool operator==(const HttpListenerCounts&, const HttpListenerCounts&) = default;
};

class HttpListener : public SocketOwner, public std::enable_shared_from_this<HttpListener> {
public:
    /// Listens on an IPv4 address and port. `handler` is called on the loop's thread. The error
    /// names the address that cannot be bound; its code is `conflict` if another socket holds it.
    static Result<std::shared_ptr<HttpListener>> listen(EventLoop& loop, const std::string& address,
                                                        const HttpListenerOptions& options,
                                                        HttpRequestHandler handler);

    /// Replaces the options. Message limits apply to requests that have not begun, the rest at
    /// once.
    void set_options(const HttpListenerOptions& options);

    /// Replaces one option. Connections over the limit are kept until others make room for them.
    void set_max_connections(std::size_t connections);

    /// Closes every connection after its next response, including connections accepted later.
    void close_after_responses();

    /// Accepts the connections that are already established, and then no more: callers that connect
    /// later are refused.
    void stop_accepting();

    /// Closes the connections that serve no request and have not read part of one, including those
    /// that linger after their last response.
    void close_idle();

    /// Stops accepting and closes all connections.
    void close();

    /// Closes connections that exceeded a timeout. Must be called periodically, at least about once
    /// a second.
    void sweep(Time now);

    /// Connections that have read part of a request, serve one or write its response.
    std::size_t busy_connections() const;
    std::size_t connections() const;
    const HttpListenerCounts& counts() const;
    /// The bound address, with the port that the system chose if none was given.
    std::string address() const;

    void on_ready(int modes) override;

private:
    friend class HttpServerConnection;

    HttpListener(EventLoop& loop, const Poco::Net::ServerSocket& socket,
                 const HttpListenerOptions& options, HttpRequestHandler handler);
    bool has_waiting_connection() const;
    /// False if no connection was accepted.
    bool accept_one();
    void add_connection(TcpStream stream);
    /// Closes connections that wait for their callers, those first that have never completed a
    /// request, and then those that have waited longest. False if all are in use.
    bool make_room();
    /// Accepts nothing for a while. The listening socket stays readable, so the event loop would
    /// otherwise do nothing but try to accept.
    void pause_accepting();
    void remove_connection(HttpServerConnection& connection);
    /// Lets the connection read its next request, which is already buffered, after those of the
    /// connections that were queued before.
    void queue_buffered(const std::shared_ptr<HttpServerConnection>& connection);
    void post_read_buffered();
    void read_buffered();
    std::vector<std::shared_ptr<HttpServerConnection>> connections_that(
        const std::function<bool(const HttpServerConnection&)>& condition) const;

    EventLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
    HttpListenerOptions m_options;
    HttpRequestHandler m_handler;
    HttpListenerCounts m_counts;
    std::map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>> m_connections;
    std::deque<std::weak_ptr<HttpServerConnection>> m_buffered;
    /// `read_buffered` is posted to the loop.
    bool m_reads_buffered = false;
    bool m_close_after_responses = false;
    bool m_accepting = true;
    bool m_is_paused = false;
};

}  // namespace ebonymount
