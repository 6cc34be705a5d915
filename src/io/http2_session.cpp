#include "io/http2_session.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "base/check.h"
#include "io/exception_guard.h"
#include "io/tcp_stream.h"

namespace ebonymount {
namespace {

/// Flow-control window; large, so that a relay's responses, which are small, do not wait for window
/// updates.
constexpr std::int32_t WINDOW_BYTES = 1 << 20;

constexpr std::uint32_t MAX_CONCURRENT_STREAMS = 10000;
constexpr std::size_t READ_CHUNK_BYTES = 65536;

nghttp2_nv header(const char* name, const std::string& value) {
    // nghttp2 takes non-const pointers, but copies the bytes and never writes to them.
    const auto bytes = [](const char* text) {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text));
    };
    return {bytes(name), bytes(value.c_str()), std::strlen(name), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

/// C callbacks for nghttp2; each forwards to the session in `user_data`. An exception must not pass
/// through the library's functions: it becomes an error, which closes the session.
struct Http2Callbacks {
    static Http2Session& session_of(void* user_data) {
        return *static_cast<Http2Session*>(user_data);
    }

    template <typename Work>
    static int guard(const Work& work) {
        return run_guarded("peers", work) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                void* user_data) {
        return guard([frame, user_data] {
            Http2Session& self = session_of(user_data);
            if (self.m_is_server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
                const std::int32_t id = frame->hd.stream_id;
                Http2Session::Stream& stream = self.m_streams[id];
                stream.server =
                    std::make_shared<ServerStream>(self.m_loop, self.weak_from_this(), id);
            }
        });
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t /*flags*/, void* user_data) {
        const std::string_view key(reinterpret_cast<const char*>(name), name_length);
        const std::string_view text(reinterpret_cast<const char*>(value), value_length);
        return guard([frame, user_data, key, text] {
            Http2Session::Stream* stream = session_of(user_data).find(frame->hd.stream_id);
            if (stream != nullptr && key == ":path") {
                stream->path = text;
            }
        });
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream_id,
                       const std::uint8_t* data, std::size_t length, void* user_data) {
        const std::string_view bytes(reinterpret_cast<const char*>(data), length);
        return guard([stream_id, user_data, bytes] {
            Http2Session& self = session_of(user_data);
            Http2Session::Stream* stream = self.find(stream_id);
            if (stream != nullptr && self.m_is_server) {
                stream->body.append(bytes);
            } else if (stream != nullptr && stream->callbacks.on_data) {
                stream->callbacks.on_data(bytes);
            }
        });
    }

    static int on_frame_received(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                 void* user_data) {
        Http2Session& self = session_of(user_data);
        const bool carries_body =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carries_body || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        Http2Session::Stream* stream = self.find(frame->hd.stream_id);
        if (stream == nullptr) {
            return 0;
        }
        stream->complete = true;
        return guard([frame, &self] {
            if (self.m_is_server) {
                self.on_request_complete(frame->hd.stream_id);
            }
        });
    }

    static int on_stream_closed(nghttp2_session* /*session*/, std::int32_t stream_id,
                                std::uint32_t error_code, void* user_data) {
        return guard([stream_id, error_code, user_data] {
            session_of(user_data).end_stream(stream_id, error_code);
        });
    }

    static int on_frame_sent(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                             void* user_data) {
        Http2Session::Stream* stream = session_of(user_data).find(frame->hd.stream_id);
        if (stream != nullptr && frame->hd.type == NGHTTP2_HEADERS) {
            stream->headers_sent = true;
        }
        return 0;
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream_id,
                             std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
                             nghttp2_data_source* /*source*/, void* user_data) {
        ssize_t count = 0;
        const int result = guard(
            [&] { count = session_of(user_data).read_body(stream_id, buffer, length, flags); });
        return result == 0 ? count : result;
    }
};

ServerStream::ServerStream(EventLoop& loop, std::weak_ptr<Http2Session> session, std::int32_t id)
    : m_loop(loop), m_session(std::move(session)), m_id(id) {}

void ServerStream::write(std::string bytes) {
    m_loop.post([self = shared_from_this(), bytes = std::move(bytes)] {
        self->m_pending.append(bytes);
        if (const std::shared_ptr<Http2Session> session = self->m_session.lock()) {
            session->resume(self->m_id);
        }
    });
}

void ServerStream::finish() {
    m_loop.post([self = shared_from_this()] {
        self->m_finished = true;
        if (const std::shared_ptr<Http2Session> session = self->m_session.lock()) {
            session->resume(self->m_id);
        }
    });
}

bool ServerStream::is_cancelled() const {
    return m_cancelled;
}

void ServerStream::set_on_cancel(std::function<void()> on_cancel) {
    const std::lock_guard<std::mutex> lock(m_cancel_mutex);
    m_on_cancel = std::move(on_cancel);
}

std::shared_ptr<Http2Session> Http2Session::serve(EventLoop& loop,
                                                  const Poco::Net::StreamSocket& socket,
                                                  StreamHandler handler,
                                                  const TrafficCounters& traffic) {
    const std::shared_ptr<Http2Session> session(new Http2Session(loop, socket, true, traffic));
    session->m_handler = std::move(handler);
    session->m_connected = true;
    session->start();
    return session;
}

std::shared_ptr<Http2Session> Http2Session::connect(EventLoop& loop, const std::string& address,
                                                    const TrafficCounters& traffic) {
    Poco::Net::StreamSocket socket;
    const std::shared_ptr<Http2Session> session(new Http2Session(loop, socket, false, traffic));
    try {
        session->m_socket.connectNB(Poco::Net::SocketAddress(address));
        session->start();
    } catch (const Poco::Exception&) {
        session->m_closed = true;
    }
    return session;
}

Http2Session::Http2Session(EventLoop& loop, const Poco::Net::StreamSocket& socket, bool is_server,
                           const TrafficCounters& traffic)
    : m_loop(loop), m_socket(socket), m_is_server(is_server), m_traffic(traffic) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            Http2Callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Http2Callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Http2Callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         Http2Callbacks::on_frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Http2Callbacks::on_frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           Http2Callbacks::on_stream_closed);
    if (is_server) {
        nghttp2_session_server_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_client_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    internal_check(m_session != nullptr) << "nghttp2 cannot allocate a session";
}

Http2Session::~Http2Session() {
    nghttp2_session_del(m_session);
}

void Http2Session::start() {
    m_socket.setBlocking(false);
    detect_dead_peer(m_socket);
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MAX_CONCURRENT_STREAMS},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(WINDOW_BYTES)}}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, WINDOW_BYTES);
    m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_WRITE,
                 shared_from_this());
}

std::int32_t Http2Session::open(const std::string& path, std::string body,
                                StreamCallbacks callbacks) {
    if (m_closed) {
        callbacks.on_end(StreamStatus::never_sent);
        return -1;
    }
    const std::string method = "POST";
    const std::string scheme = "http";
    const std::string authority = "node";
    const std::array<nghttp2_nv, 4> headers = {header(":method", method), header(":scheme", scheme),
                                               header(":authority", authority),
                                               header(":path", path)};
    nghttp2_data_provider provider{};
    provider.read_callback = Http2Callbacks::read_body;
    const std::int32_t id = nghttp2_submit_request(m_session, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id < 0) {
        callbacks.on_end(StreamStatus::never_sent);
        return -1;
    }
    Stream& stream = m_streams[id];
    stream.path = path;
    stream.body = std::move(body);
    stream.callbacks = std::move(callbacks);
    flush();
    return id;
}

void Http2Session::reset(std::int32_t stream_id) {
    if (!m_closed && find(stream_id) != nullptr) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_CANCEL);
        flush();
    }
}

void Http2Session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    const std::shared_ptr<Http2Session> self = shared_from_this();
    m_loop.unwatch(m_socket);
    m_socket.close();
    while (!m_streams.empty()) {
        run_guarded("peers",
                    [this] { end_stream(m_streams.begin()->first, NGHTTP2_INTERNAL_ERROR); });
    }
}

bool Http2Session::is_open() const {
    return !m_closed;
}

void Http2Session::on_ready(int modes) {
    if (!m_connected) {
        if (m_socket.impl()->socketError() != 0) {
            close();
            return;
        }
        m_connected = true;
        m_socket.setNoDelay(true);
    }
    if ((modes & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        receive();
    }
    flush();
}

void Http2Session::on_exception() {
    close();
}

void Http2Session::receive() {
    std::array<char, READ_CHUNK_BYTES> buffer{};
    while (!m_closed) {
        int received = 0;
        try {
            received = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        } catch (const Poco::TimeoutException&) {
            return;
        } catch (const Poco::Exception&) {
            close();
            return;
        }
        if (received < 0) {
            return;
        }
        if (received == 0) {
            close();
            return;
        }
        m_traffic.bytes_in += received;
        const ssize_t consumed = nghttp2_session_mem_recv(
            m_session, reinterpret_cast<const std::uint8_t*>(buffer.data()),
            static_cast<std::size_t>(received));
        if (consumed < 0) {
            close();
            return;
        }
        if (received < static_cast<int>(buffer.size())) {
            return;
        }
    }
}

void Http2Session::flush() {
    if (m_closed || !m_connected) {
        return;
    }
    const std::uint8_t* data = nullptr;
    ssize_t length = nghttp2_session_mem_send(m_session, &data);
    while (length > 0) {
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
        length = nghttp2_session_mem_send(m_session, &data);
    }
    if (length < 0) {
        close();
        return;
    }
    try {
        while (!m_output.empty()) {
            const int sent = m_socket.sendBytes(m_output.data(), static_cast<int>(m_output.size()));
            if (sent <= 0) {
                break;
            }
            m_traffic.bytes_out += sent;
            m_output.erase(0, static_cast<std::size_t>(sent));
        }
    } catch (const Poco::Exception& error) {
        // When the socket is full, the loop calls again once it is writable.
        if (!would_block(error)) {
            close();
            return;
        }
    }
    update_watch();
}

void Http2Session::update_watch() {
    const int write = m_output.empty() ? 0 : Poco::Net::PollSet::POLL_WRITE;
    m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ | write, shared_from_this());
}

void Http2Session::resume(std::int32_t stream_id) {
    if (!m_closed && find(stream_id) != nullptr) {
        nghttp2_session_resume_data(m_session, stream_id);
        flush();
    }
}

Http2Session::Stream* Http2Session::find(std::int32_t stream_id) {
    const auto found = m_streams.find(stream_id);
    return found == m_streams.end() ? nullptr : &found->second;
}

void Http2Session::on_request_complete(std::int32_t stream_id) {
    Stream& stream = *find(stream_id);
    const std::string status = "200";
    const std::array<nghttp2_nv, 1> headers = {header(":status", status)};
    nghttp2_data_provider provider{};
    provider.read_callback = Http2Callbacks::read_body;
    nghttp2_submit_response(m_session, stream_id, headers.data(), headers.size(), &provider);
    const std::shared_ptr<ServerStream> server = stream.server;
    m_handler(server, stream.path, std::move(stream.body));
}

ssize_t Http2Session::read_body(std::int32_t stream_id, std::uint8_t* buffer, std::size_t length,
                                std::uint32_t* flags) {
    Stream* stream = find(stream_id);
    if (stream == nullptr) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (m_is_server) {
        return read_response(*stream, buffer, length, flags);
    }
    const std::size_t count = std::min(length, stream->body.size() - stream->body_sent);
    std::copy_n(stream->body.data() + stream->body_sent, count, buffer);
    stream->body_sent += count;
    if (stream->body_sent == stream->body.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

ssize_t Http2Session::read_response(Stream& stream, std::uint8_t* buffer, std::size_t length,
                                    std::uint32_t* flags) {
    ServerStream& server = *stream.server;
    const std::size_t count = std::min(length, server.m_pending.size());
    std::copy_n(server.m_pending.data(), count, buffer);
    server.m_pending.erase(0, count);
    if (server.m_pending.empty() && server.m_finished) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(count);
}

StreamStatus Http2Session::final_status(const Stream& stream, std::uint32_t error_code) const {
    if (stream.complete && error_code == NGHTTP2_NO_ERROR) {
        return StreamStatus::complete;
    }
    const bool sent = stream.headers_sent && m_connected;
    if (!sent || error_code == NGHTTP2_REFUSED_STREAM) {
        return StreamStatus::never_sent;
    }
    return StreamStatus::broken;
}

void Http2Session::end_stream(std::int32_t stream_id, std::uint32_t error_code) {
    const auto found = m_streams.find(stream_id);
    if (found == m_streams.end()) {
        return;
    }
    Stream stream = std::move(found->second);
    m_streams.erase(found);
    if (stream.server != nullptr) {
        const bool finished = stream.server->m_finished && stream.server->m_pending.empty();
        if (!finished) {
            stream.server->m_cancelled = true;
            const std::lock_guard<std::mutex> lock(stream.server->m_cancel_mutex);
            if (stream.server->m_on_cancel) {
                stream.server->m_on_cancel();
            }
        }
        return;
    }
    stream.callbacks.on_end(final_status(stream, error_code));
}

}  // namespace ebonymount
