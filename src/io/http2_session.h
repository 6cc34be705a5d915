// One HTTP/2 connection (nghttp2) between two nodes, as client or server.
//
// A session belongs to an event loop: every member is called on the loop's thread. The loop keeps
// the session alive for as long as its socket is watched. `ServerStream` handles may outlive the
// session; if the response was not finished by then, they report that the stream is cancelled.
#pragma once

#include <Poco/Net/StreamSocket.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "io/event_loop.h"
#include "io/metrics.h"

namespace ebonymount {

/// How a stream ended; decides the verdict on whether the request may have run.
enum class StreamStatus : std::uint8_t {
    complete,    ///< The whole response arrived.
    never_sent,  ///< No byte of the request left this process, or the peer refused the stream.
    broken,      ///< The stream ended early after the request was sent.
};

/// Callbacks of a stream's client. Called on the loop's thread.
struct StreamCallbacks {
    std::function<void(std::string_view)> on_data;
    std::function<void(StreamStatus)> on_end;
};

class Http2Session;

/// Server side of one stream. `write`, `finish` and `is_cancelled` may be called from any thread.
class ServerStream : public std::enable_shared_from_this<ServerStream> {
public:
    ServerStream(EventLoop& loop, std::weak_ptr<Http2Session> session, std::int32_t id);

    /// Queues bytes of the response.
    void write(std::string bytes);

    /// Ends the response after the bytes written so far.
    void finish();

    /// True once the client has reset the stream or the connection broke.
    bool is_cancelled() const;

    /// Sets a callback that runs on the loop's thread when the stream is cancelled. It does not run
    /// if the stream was cancelled before this call.
    void set_on_cancel(std::function<void()> on_cancel);

private:
    friend class Http2Session;

    EventLoop& m_loop;
    std::weak_ptr<Http2Session> m_session;
    std::int32_t m_id;
    std::string m_pending;
    bool m_finished = false;
    std::atomic<bool> m_cancelled{false};
    std::mutex m_cancel_mutex;
    std::function<void()> m_on_cancel;
};

/// Handles one request, called when its body is complete.
using StreamHandler = std::function<void(std::shared_ptr<ServerStream> stream,
                                         const std::string& path, std::string body)>;

/// Bytes received and sent by all sessions of a process; measures the cost of control traffic. A
/// session has its own copy, as it may outlive what opened it.
struct TrafficCounters {
    Counter& bytes_in;
    Counter& bytes_out;
};

class Http2Session : public SocketOwner, public std::enable_shared_from_this<Http2Session> {
public:
    /// Server side of an established connection.
    static std::shared_ptr<Http2Session> serve(EventLoop& loop,
                                               const Poco::Net::StreamSocket& socket,
                                               StreamHandler handler,
                                               const TrafficCounters& traffic);

    /// Client side; the connection is established in the background.
    static std::shared_ptr<Http2Session> connect(EventLoop& loop, const std::string& address,
                                                 const TrafficCounters& traffic);

    ~Http2Session() override;
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;
    Http2Session(Http2Session&&) = delete;
    Http2Session& operator=(Http2Session&&) = delete;

    /// Opens a stream with a complete request. Returns its id, or a negative number when the stream
    /// cannot be opened; `on_end` has then been called with `never_sent`.
    std::int32_t open(const std::string& path, std::string body, StreamCallbacks callbacks);

    /// Resets a stream that this side opened.
    void reset(std::int32_t stream_id);

    /// Closes the connection; open streams end as broken or never sent.
    void close();

    bool is_open() const;

    void on_ready(int modes) override;
    void on_exception() override;

private:
    struct Stream {
        std::string path;
        std::string body;
        std::size_t body_sent = 0;
        bool headers_sent = false;
        bool refused = false;
        bool complete = false;
        StreamCallbacks callbacks;
        std::shared_ptr<ServerStream> server;
    };

    Http2Session(EventLoop& loop, const Poco::Net::StreamSocket& socket, bool is_server,
                 const TrafficCounters& traffic);

    void start();
    void receive();
    void flush();
    void resume(std::int32_t stream_id);
    void update_watch();
    void end_stream(std::int32_t stream_id, std::uint32_t error_code);
    StreamStatus final_status(const Stream& stream, std::uint32_t error_code) const;
    Stream* find(std::int32_t stream_id);
    ssize_t read_body(std::int32_t stream_id, std::uint8_t* buffer, std::size_t length,
                      std::uint32_t* flags);
    ssize_t read_response(Stream& stream, std::uint8_t* buffer, std::size_t length,
                          std::uint32_t* flags);
    void on_request_complete(std::int32_t stream_id);

    friend class ServerStream;
    friend struct Http2Callbacks;

    EventLoop& m_loop;
    Poco::Net::StreamSocket m_socket;
    bool m_is_server;
    TrafficCounters m_traffic;
    bool m_connected = false;
    bool m_closed = false;
    nghttp2_session* m_session = nullptr;
    StreamHandler m_handler;
    std::map<std::int32_t, Stream> m_streams;
    std::string m_output;
};

}  // namespace ebonymount
