#include "io/http_server_connection.h"

#include "io/exception_guard.h"
#include "io/http_listener.h"
#include "io/http_status.h"

namespace ebonymount {
namespace {

/// How long a connection is still read after its last response, so that closing it does not reset
/// the connection before the caller has received the response.
constexpr Duration LINGER_TIME = from_ms(1000);

/// Retry-After, in seconds, of a request that the node has no memory for. Callers that hold much
/// are ended within a round of the event loop.
constexpr const char* OVERLOAD_RETRY_S = "0.5";

/// A caller that has taken no byte of a response for this long may make room for others.
constexpr Duration STUCK_TIME = from_ms(1000);

/// Until the response to a request is sent, reading stops once this many bytes of pipelined
/// requests are buffered.
constexpr std::size_t MAX_READ_AHEAD_BYTES = 65536;

/// A body up to this size is sent together with its head, which takes one call of the system.
constexpr std::size_t MAX_COPIED_BODY_BYTES = 16384;

}  // namespace

HttpServerConnection::HttpServerConnection(std::shared_ptr<HttpListener> listener, TcpStream stream)
    : m_listener(std::move(listener)),
      m_stream(std::move(stream)),
      m_reader(m_listener->m_options.limits),
      m_ready_since(monotonic_now()),
      m_last_byte_at(m_ready_since),
      m_last_sent_at(m_ready_since),
      m_request_started_at(m_ready_since) {}

void HttpServerConnection::start() {
    if (m_listener->m_options.memory != nullptr) {
        const std::weak_ptr<HttpServerConnection> weak = weak_from_this();
        m_memory = MemoryCharge(m_listener->m_options.memory->open_account([weak] {
            const std::shared_ptr<HttpServerConnection> connection = weak.lock();
            if (connection != nullptr) {
                connection->release_memory();
            }
        }));
    }
    watch();
}

void HttpServerConnection::charge_memory() {
    release_empty_buffer(m_input);
    m_memory.set(m_stream.unsent_memory() + m_input.capacity() + m_reader.memory());
}

void HttpServerConnection::release_memory() {
    switch (m_phase) {
        case Phase::reading:
            if (is_idle()) {
                close();
            } else {
                reject(http::UNAVAILABLE, "the node is short of memory; the request was not run",
                       OVERLOAD_RETRY_S);
            }
            break;
        case Phase::serving:
            // The request in progress is charged to its handler. The caller may send those that it
            // has sent ahead again, as none of them was read.
            m_keep_alive = false;
            discard_input();
            watch();
            break;
        case Phase::writing:
            // The rest of the response is lost with the connection; the length in its header shows
            // that it is not complete.
            drop();
            break;
        case Phase::lingering:
        case Phase::closed:
            break;
    }
}

void HttpServerConnection::discard_input() {
    std::string().swap(m_input);
    m_reader.discard();
    charge_memory();
}

void HttpServerConnection::apply_limits() {
    m_reader.set_limits(m_listener->m_options.limits);
}

void HttpServerConnection::watch() {
    const int modes = (is_read_ahead_full() ? 0 : Poco::Net::PollSet::POLL_READ) |
                      (m_stream.has_unsent() ? Poco::Net::PollSet::POLL_WRITE : 0) |
                      Poco::Net::PollSet::POLL_ERROR;
    if (modes != m_watched_modes) {
        m_watched_modes = modes;
        m_listener->m_loop.watch(m_stream.socket(), modes, shared_from_this());
    }
}

bool HttpServerConnection::is_read_ahead_full() const {
    return (m_phase == Phase::serving || m_phase == Phase::writing || m_is_queued) &&
           m_input.size() >= MAX_READ_AHEAD_BYTES;
}

bool HttpServerConnection::is_idle() const {
    return m_phase == Phase::lingering || m_phase == Phase::closed ||
           (m_phase == Phase::reading && m_read_state == ReadState::nothing && m_input.empty());
}

bool HttpServerConnection::is_waiting(Time now) const {
    return m_phase == Phase::reading || m_phase == Phase::lingering ||
           (m_phase == Phase::writing && now - m_last_sent_at > STUCK_TIME);
}

Time HttpServerConnection::waiting_since() const {
    return m_phase == Phase::writing ? m_last_sent_at : m_ready_since;
}

bool HttpServerConnection::has_completed_request() const {
    return m_requests > 0;
}

Time HttpServerConnection::request_started_at() const {
    return m_request_started_at;
}

bool HttpServerConnection::is_first_request() const {
    return m_requests == 1;
}

void HttpServerConnection::on_caller_gone(std::function<void()> handler) {
    m_on_caller_gone = std::move(handler);
}

void HttpServerConnection::on_ready(int modes) {
    const std::shared_ptr<HttpServerConnection> self = shared_from_this();
    if ((modes & Poco::Net::PollSet::POLL_WRITE) != 0 && m_stream.has_unsent()) {
        const std::int64_t sent_before = m_stream.sent_bytes();
        if (m_stream.flush() == StreamState::broken) {
            close();
            return;
        }
        if (m_stream.sent_bytes() > sent_before) {
            m_last_sent_at = monotonic_now();
            m_memory.record_progress(m_last_sent_at);
        }
        charge_memory();
        if (!m_stream.has_unsent() && m_phase == Phase::writing) {
            finish_response();
        }
    }
    if (m_phase != Phase::closed &&
        (modes & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        read();
    }
}

void HttpServerConnection::on_exception() {
    if (m_phase == Phase::serving) {
        respond_to_exception();
    } else {
        close();
    }
}

void HttpServerConnection::serve(HttpRequestMessage request) {
    const auto handle = [this, &request] {
        m_listener->m_handler(shared_from_this(), std::move(request));
    };
    if (!run_guarded("listener", handle)) {
        respond_to_exception();
    }
}

void HttpServerConnection::respond_to_exception() {
    HttpResponseMessage response;
    response.status = http::BAD_GATEWAY;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = "internal error; the request may have run\n";
    m_keep_alive = false;
    respond(std::move(response));
}

void HttpServerConnection::read() {
    if (m_memory.must_wait()) {
        return;
    }
    const std::size_t before = m_input.size();
    const StreamState state = m_stream.receive(m_input);
    if (m_input.size() > before) {
        m_last_byte_at = monotonic_now();
        m_memory.record_progress(m_last_byte_at);
    }
    if (m_phase == Phase::lingering || !m_keep_alive) {
        m_input.clear();
    }
    if (m_phase == Phase::reading && !m_is_queued) {
        read_request();
    }
    if (state != StreamState::open && m_phase != Phase::closed) {
        close();
        return;
    }
    charge_memory();
    if (is_read_ahead_full()) {
        watch();
    }
}

void HttpServerConnection::read_request() {
    if (m_read_state == ReadState::nothing && !m_input.empty()) {
        m_request_started_at = monotonic_now();
    }
    m_read_state = m_reader.consume(m_input);
    switch (m_read_state) {
        case ReadState::complete: {
            HttpRequestMessage request = m_reader.take();
            m_read_state = ReadState::nothing;
            m_phase = Phase::serving;
            ++m_requests;
            m_sent_continue = false;
            m_is_head = request.method == "HEAD";
            m_keep_alive = request.keep_alive;
            serve(std::move(request));
            return;
        }
        case ReadState::header_too_long:
            ++m_listener->m_counts.malformed;
            reject(http::HEADERS_TOO_LARGE, "the header is longer than allowed");
            return;
        case ReadState::body_too_long:
            ++m_listener->m_counts.malformed;
            reject(http::TOO_LARGE, "the body is longer than allowed");
            return;
        case ReadState::malformed:
            ++m_listener->m_counts.malformed;
            reject(http::BAD_REQUEST, "the request is not valid HTTP/1.1");
            return;
        default:
            break;
    }
    if (!m_sent_continue && m_reader.expects_continue()) {
        m_sent_continue = true;
        HttpResponseMessage interim;
        interim.status = http::CONTINUE;
        m_stream.send(encode(interim, true));
    }
}

void HttpServerConnection::reject(int status, const std::string& message,
                                  const char* retry_after_s) {
    m_phase = Phase::serving;
    m_keep_alive = false;
    m_read_state = ReadState::nothing;
    discard_input();
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    if (retry_after_s != nullptr) {
        response.headers.push_back({"Retry-After", retry_after_s});
    }
    response.body = message + "\n";
    respond(std::move(response));
}

void HttpServerConnection::respond(HttpResponseMessage response) {
    if (m_phase != Phase::serving) {
        return;
    }
    m_keep_alive = m_keep_alive && !m_listener->m_close_after_responses;
    response.keep_alive = m_keep_alive;
    // Encoded first: if that fails, another response can still be sent.
    std::string head = encode_head(response, response.body.size());
    m_on_caller_gone = nullptr;
    m_phase = Phase::writing;
    if (send(std::move(head), std::move(response.body)) == StreamState::broken) {
        close();
        return;
    }
    m_last_sent_at = monotonic_now();
    m_memory.record_progress(m_last_sent_at);
    charge_memory();
    if (m_stream.has_unsent()) {
        watch();
        return;
    }
    finish_response();
}

StreamState HttpServerConnection::send(std::string head, std::string body) {
    if (m_is_head) {
        return m_stream.send(std::move(head));
    }
    if (body.size() <= MAX_COPIED_BODY_BYTES) {
        return m_stream.send(std::move(head += body));
    }
    m_stream.queue(std::move(head));
    return m_stream.send(std::move(body));
}

void HttpServerConnection::finish_response() {
    m_last_byte_at = monotonic_now();
    m_ready_since = m_last_byte_at;
    if (!m_keep_alive) {
        m_phase = Phase::lingering;
        m_input.clear();
        m_stream.shutdown_send();
        watch();
        return;
    }
    m_phase = Phase::reading;
    watch();
    if (!m_input.empty()) {
        m_is_queued = true;
        m_listener->queue_buffered(shared_from_this());
    }
}

void HttpServerConnection::read_buffered() {
    m_is_queued = false;
    if (m_phase == Phase::reading) {
        read_request();
        if (m_phase != Phase::closed) {
            charge_memory();
            watch();
        }
    }
}

void HttpServerConnection::close() {
    if (m_phase == Phase::closed) {
        return;
    }
    const std::shared_ptr<HttpServerConnection> self = shared_from_this();
    m_phase = Phase::closed;
    m_listener->m_loop.unwatch(m_stream.socket());
    m_stream.close();
    m_memory.set(0);
    m_listener->remove_connection(*this);
    const std::function<void()> on_gone = std::move(m_on_caller_gone);
    m_on_caller_gone = nullptr;
    if (on_gone) {
        on_gone();
    }
}

void HttpServerConnection::drop() {
    if (m_phase != Phase::closed) {
        m_stream.reset_on_close();
        close();
    }
}

std::string HttpServerConnection::client_address() const {
    return m_stream.peer_address();
}

HttpServerConnection::Overdue HttpServerConnection::overdue(Time now) const {
    const HttpListenerOptions& options = m_listener->m_options;
    switch (m_phase) {
        case Phase::lingering:
            return now - m_ready_since > LINGER_TIME ? Overdue::connection : Overdue::nothing;
        case Phase::writing:
            return now - m_last_sent_at > options.idle_timeout ? Overdue::connection
                                                               : Overdue::nothing;
        case Phase::reading: {
            const Duration request_time = now - m_request_started_at;
            if (m_read_state == ReadState::header && request_time > options.header_timeout) {
                return Overdue::header;
            }
            const bool is_idle = now - m_last_byte_at > options.idle_timeout;
            if (m_read_state == ReadState::body) {
                return is_idle || request_time > options.request_timeout ? Overdue::body
                                                                         : Overdue::nothing;
            }
            return is_idle ? Overdue::connection : Overdue::nothing;
        }
        case Phase::serving:
        case Phase::closed:
            return Overdue::nothing;
    }
    return Overdue::nothing;
}

void HttpServerConnection::end_overdue(Time now) {
    HttpListenerCounts& counts = m_listener->m_counts;
    switch (overdue(now)) {
        case Overdue::nothing:
            break;
        case Overdue::header:
            ++counts.timed_out;
            ++counts.malformed;
            reject(http::REQUEST_TIMEOUT, "the request's header did not arrive in time");
            break;
        case Overdue::body:
            ++counts.timed_out;
            ++counts.malformed;
            reject(http::REQUEST_TIMEOUT, "the request's body did not arrive in time");
            break;
        case Overdue::connection:
            close();
            break;
    }
}

}  // namespace ebonymount
