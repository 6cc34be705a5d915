#include "io/http_channel.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <charconv>

#include "io/exception_guard.h"

namespace ebonymount {
namespace {

/// Responses to other calls that are skipped during one call; a target that sends more never ends.
constexpr int MAX_SKIPPED_RESPONSES = 16;

/// Idle time after which a connection is not reused if the peer states no limit.
constexpr Duration DEFAULT_IDLE_LIMIT = from_ms(30000);

/// Subtracted from the limit that the peer states, to allow for network latency.
constexpr Duration IDLE_MARGIN = from_ms(500);

/// The peer's idle timeout from `Keep-Alive: timeout=N` (whole seconds), less the margin.
Duration idle_limit_in(const HttpResponseMessage& response, Duration fallback) {
    const std::string_view value = find_header(response.headers, "Keep-Alive");
    const std::string_view key = "timeout=";
    const std::size_t at = value.find(key);
    if (at == std::string_view::npos) {
        return fallback;
    }
    std::int64_t seconds = 0;
    const std::string_view digits = value.substr(at + key.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::max(Duration::zero(), from_ms(seconds * 1000) - IDLE_MARGIN);
}

}  // namespace

const char* name_of(CallStatus status) {
    switch (status) {
        case CallStatus::answered:
            return "answered";
        case CallStatus::not_sent:
            return "not_sent";
        case CallStatus::broken:
            return "broken";
        case CallStatus::rejected:
            return "rejected";
        case CallStatus::malformed:
            return "malformed";
        case CallStatus::aborted:
            return "aborted";
    }
    return "unknown";
}

HttpChannel::HttpChannel(EventLoop& loop, TcpStream stream, std::string address,
                         std::function<void(HttpChannel&)> on_change)
    : m_loop(loop),
      m_stream(std::move(stream)),
      m_address(std::move(address)),
      m_on_change(std::move(on_change)),
      m_reader(HttpLimits{}),
      m_last_used(monotonic_now()),
      m_idle_limit(DEFAULT_IDLE_LIMIT) {}

std::shared_ptr<HttpChannel> HttpChannel::open(EventLoop& loop, const std::string& address,
                                               std::function<void(HttpChannel&)> on_change) {
    try {
        TcpStream stream = TcpStream::connect(Poco::Net::SocketAddress(address));
        stream.detect_dead_peer();
        std::shared_ptr<HttpChannel> channel(
            new HttpChannel(loop, std::move(stream), address, std::move(on_change)));
        channel->watch();
        return channel;
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

void HttpChannel::watch() {
    const bool writes = m_phase == Phase::connecting || m_stream.has_unsent();
    const int modes = Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR |
                      (writes ? Poco::Net::PollSet::POLL_WRITE : 0);
    m_loop.watch(m_stream.socket(), modes, shared_from_this());
}

void HttpChannel::start(ChannelCall call) {
    m_call = std::move(call);
    m_memory = MemoryCharge(m_call.memory);
    m_has_call = true;
    if (m_phase == Phase::idle) {
        send_call();
    } else if (m_phase == Phase::closed) {
        fail(CallStatus::not_sent);
    }
}

bool HttpChannel::withdraw() {
    if (!m_has_call || m_phase != Phase::connecting) {
        return false;
    }
    m_has_call = false;
    m_call = ChannelCall{};
    m_memory = MemoryCharge();
    return true;
}

void HttpChannel::close() {
    if (m_phase != Phase::closed) {
        fail(m_phase == Phase::awaiting_response ? CallStatus::aborted : CallStatus::not_sent);
    }
}

bool HttpChannel::is_closed() const {
    return m_phase == Phase::closed;
}

bool HttpChannel::is_connecting() const {
    return m_phase == Phase::connecting;
}

bool HttpChannel::is_idle() const {
    return m_phase == Phase::idle && !m_has_call;
}

bool HttpChannel::has_call() const {
    return m_has_call;
}

bool HttpChannel::has_connected() const {
    return m_has_connected;
}

bool HttpChannel::was_refused() const {
    return m_was_refused;
}

const std::string& HttpChannel::address() const {
    return m_address;
}

Time HttpChannel::last_used() const {
    return m_last_used;
}

Duration HttpChannel::idle_limit() const {
    return m_idle_limit;
}

void HttpChannel::on_ready(int modes) {
    const std::shared_ptr<HttpChannel> self = shared_from_this();
    if (m_phase == Phase::connecting) {
        finish_connect();
        return;
    }
    if ((modes & Poco::Net::PollSet::POLL_WRITE) != 0 && m_stream.has_unsent()) {
        if (m_stream.flush() == StreamState::broken) {
            fail(CallStatus::broken);
            return;
        }
        charge_memory();
        if (!m_stream.has_unsent()) {
            watch();
        }
    }
    if (m_phase != Phase::closed &&
        (modes & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        read();
    }
}

void HttpChannel::on_exception() {
    if (m_phase != Phase::closed) {
        fail(m_phase == Phase::awaiting_response ? CallStatus::broken : CallStatus::not_sent);
    }
}

void HttpChannel::finish_connect() {
    const int error = m_stream.connect_error();
    if (error != 0) {
        m_was_refused = error == ECONNREFUSED || error == ECONNRESET;
        fail(CallStatus::not_sent);
        return;
    }
    m_has_connected = true;
    m_phase = Phase::idle;
    m_last_used = monotonic_now();
    watch();
    if (m_has_call) {
        send_call();
    } else {
        m_on_change(*this);
    }
}

void HttpChannel::send_call() {
    if (m_call.may_send && !m_call.may_send()) {
        const ChannelCall call = std::move(m_call);
        m_call = ChannelCall{};
        m_memory = MemoryCharge();
        m_has_call = false;
        report_change();
        call.on_end(CallStatus::not_sent, HttpResponseMessage{});
        return;
    }
    m_phase = Phase::awaiting_response;
    m_skipped_responses = 0;
    m_reader.set_limits(m_call.limits);
    if (m_call.is_head) {
        m_reader.expect_no_body();
    }
    const StreamState state = m_stream.send(m_call.make_request());
    m_call.on_sent();
    if (state == StreamState::broken) {
        fail(CallStatus::broken);
        return;
    }
    if (m_stream.has_unsent()) {
        charge_memory();
        watch();
    }
}

void HttpChannel::charge_memory() {
    m_memory.set(m_stream.unsent_memory() + m_input.capacity() + m_reader.memory());
}

void HttpChannel::read() {
    if (m_memory.must_wait()) {
        return;
    }
    const StreamState state = m_stream.receive(m_input);
    if (m_phase != Phase::awaiting_response) {
        // Unexpected bytes or end of stream without a call: the connection cannot be reused.
        fail(CallStatus::not_sent);
        return;
    }
    read_responses(state);
}

void HttpChannel::read_responses(StreamState stream_state) {
    m_memory.record_progress(monotonic_now());
    while (m_phase == Phase::awaiting_response) {
        ReadState state = m_reader.consume(m_input);
        if (stream_state == StreamState::ended && state == ReadState::body) {
            state = m_reader.end_of_stream();
        }
        if (state == ReadState::complete) {
            HttpResponseMessage response = m_reader.take();
            response.keep_alive = response.keep_alive && stream_state == StreamState::open;
            const ResponseOwner owner = owner_of(response);
            if (owner != ResponseOwner::other_call) {
                complete(std::move(response), owner);
            } else if (stream_state != StreamState::open) {
                fail(CallStatus::broken);
            } else if (++m_skipped_responses > MAX_SKIPPED_RESPONSES) {
                fail(CallStatus::malformed);
            }
            continue;
        }
        if (state == ReadState::malformed || state == ReadState::header_too_long ||
            state == ReadState::body_too_long) {
            fail(CallStatus::malformed);
        } else if (stream_state != StreamState::open) {
            const bool is_rejected = !m_has_responded && state == ReadState::nothing;
            fail(is_rejected ? CallStatus::rejected : CallStatus::broken);
        } else {
            charge_memory();
        }
        return;
    }
}

ResponseOwner HttpChannel::owner_of(const HttpResponseMessage& response) const {
    return m_call.owner_of ? m_call.owner_of(response) : ResponseOwner::this_call;
}

void HttpChannel::complete(HttpResponseMessage response, ResponseOwner owner) {
    m_last_used = monotonic_now();
    m_has_responded = true;
    m_idle_limit = idle_limit_in(response, m_idle_limit);
    // A target may respond before it has read the whole request. If this side stopped sending
    // halfway, the target would read the next request as the rest of the body.
    const bool reusable = response.keep_alive && m_input.empty() && !m_stream.has_unsent() &&
                          owner == ResponseOwner::this_call;
    const ChannelCall call = std::move(m_call);
    m_call = ChannelCall{};
    m_memory = MemoryCharge();
    release_empty_buffer(m_input);
    m_has_call = false;
    m_phase = reusable ? Phase::idle : Phase::closed;
    if (!reusable) {
        close_socket();
    }
    report_change();
    call.on_end(CallStatus::answered, std::move(response));
}

void HttpChannel::fail(CallStatus status) {
    const ChannelCall call = std::move(m_call);
    const bool had_call = m_has_call;
    m_call = ChannelCall{};
    m_memory = MemoryCharge();
    m_has_call = false;
    m_phase = Phase::closed;
    close_socket();
    report_change();
    if (had_call) {
        call.on_end(status, HttpResponseMessage{});
    }
}

void HttpChannel::report_change() {
    // The call ends whatever becomes of this.
    run_guarded("channel", [this] { m_on_change(*this); });
}

void HttpChannel::close_socket() {
    m_loop.unwatch(m_stream.socket());
    m_stream.close();
}

}  // namespace ebonymount
