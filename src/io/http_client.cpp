#include "io/http_client.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

#include "io/http_message.h"

namespace ebonymount {
namespace {

constexpr std::size_t READ_BYTES = 16384;

/// Converts a timeout, to at least 1 ms: sockets treat a timeout of zero as none.
Poco::Timespan timespan(Duration duration) {
    return Poco::Timespan(std::max<std::int64_t>(duration.count(), 1000));
}

/// True when the peer has closed an idle connection or sent unexpected bytes.
bool is_stale(Poco::Net::StreamSocket& socket) {
    return socket.poll(Poco::Timespan(0),
                       Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
}

void send_request(Poco::Net::StreamSocket& socket, const std::string& address,
                  const HttpRequest& request) {
    HttpRequestMessage message{
        request.method, request.path, {{"Host", address}}, request.body, true};
    for (const auto& [name, value] : request.headers) {
        message.headers.push_back({name, value});
    }
    if (!request.body.empty() || request.method != "GET") {
        message.headers.push_back({"Content-Type", "application/json"});
    }
    const std::string bytes = encode(message);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        sent += static_cast<std::size_t>(
            socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
}

/// Reads until a response is complete; the stage stays `sending` if it is truncated or malformed.
HttpResponse read_response(Poco::Net::StreamSocket& socket, bool& keep_alive) {
    HttpResponse response;
    response.stage = ExchangeStage::sending;
    HttpResponseReader reader(HttpLimits{});
    std::string input;
    std::array<char, READ_BYTES> chunk{};
    ReadState state = ReadState::nothing;
    while (state == ReadState::nothing || state == ReadState::header || state == ReadState::body) {
        const int count = socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (count <= 0) {
            state = state == ReadState::body ? reader.end_of_stream() : ReadState::malformed;
            break;
        }
        input.append(chunk.data(), static_cast<std::size_t>(count));
        state = reader.consume(input);
    }
    if (state != ReadState::complete) {
        response.error = "the response was truncated or malformed";
        return response;
    }
    HttpResponseMessage message = reader.take();
    keep_alive = message.keep_alive && input.empty();
    response.status = message.status;
    for (const HttpHeader& header : message.headers) {
        response.headers[header.name] = header.value;
    }
    response.body = std::move(message.body);
    response.stage = ExchangeStage::answered;
    return response;
}

}  // namespace

HttpConnection::HttpConnection(std::string address, Duration connect_timeout)
    : m_address(std::move(address)), m_connect_timeout(connect_timeout) {}

ConnectResult HttpConnection::ensure_connected() {
    const bool had_connection = m_socket.has_value();
    if (m_socket.has_value() && !is_stale(*m_socket)) {
        return ConnectResult::ready;
    }
    close();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(m_address), timespan(m_connect_timeout));
        socket.setNoDelay(true);
        m_socket = socket;
        ++m_opened;
        return had_connection ? ConnectResult::replaced : ConnectResult::opened;
    } catch (const Poco::Exception&) {
        close();
        return ConnectResult::failed;
    }
}

HttpResponse HttpConnection::exchange(const HttpRequest& request, Duration timeout) {
    HttpResponse response;
    if (!m_socket.has_value()) {
        response.error = "not connected";
        return response;
    }
    response.stage = ExchangeStage::sending;
    bool keep_alive = false;
    try {
        m_socket->setSendTimeout(timespan(timeout));
        m_socket->setReceiveTimeout(timespan(timeout));
        send_request(*m_socket, m_address, request);
        response = read_response(*m_socket, keep_alive);
    } catch (const Poco::TimeoutException& error) {
        response.timed_out = true;
        response.error = error.displayText();
    } catch (const Poco::Exception& error) {
        response.error = error.displayText();
    }
    if (!keep_alive) {
        close();
    }
    return response;
}

void HttpConnection::close() {
    if (m_socket.has_value()) {
        m_socket->close();
        m_socket.reset();
    }
}

int HttpConnection::opened() const {
    return m_opened;
}

HttpResponse exchange_once(const std::string& address, const HttpRequest& request,
                           Duration timeout) {
    HttpConnection connection(address, timeout);
    if (connection.ensure_connected() == ConnectResult::failed) {
        HttpResponse response;
        response.error = "cannot connect to " + address;
        return response;
    }
    return connection.exchange(request, timeout);
}

}  // namespace ebonymount
