#include "io/http_client.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>

namespace ebonymount {
namespace {

/// An idle connection is never given up by this side; the target closes it if it wants to.
constexpr int KEEP_ALIVE_S = 86400;

Poco::Timespan timespan(Duration duration) {
    return Poco::Timespan(std::max<std::int64_t>(duration.count(), 1000));
}

/// True when the peer has closed an idle connection or sent bytes that nobody asked for.
bool is_stale(Poco::Net::StreamSocket& socket) {
    return socket.poll(Poco::Timespan(0),
                       Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
}

void send_request(Poco::Net::HTTPClientSession& session, const HttpRequest& request) {
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    for (const auto& [name, value] : request.headers) {
        head.set(name, value);
    }
    if (!request.body.empty() || request.method != "GET") {
        head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        head.setContentType("application/json");
    }
    session.sendRequest(head) << request.body << std::flush;
}

HttpAnswer read_answer(Poco::Net::HTTPClientSession& session) {
    HttpAnswer answer;
    answer.stage = ExchangeStage::sending;
    Poco::Net::HTTPResponse head;
    std::istream& body = session.receiveResponse(head);
    Poco::StreamCopier::copyToString(body, answer.body);
    const std::streamsize expected = head.getContentLength();
    if (expected != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        static_cast<std::size_t>(expected) != answer.body.size()) {
        answer.error = "the answer was cut short";
        return answer;
    }
    answer.status = head.getStatus();
    for (const auto& [name, value] : head) {
        answer.headers[name] = value;
    }
    answer.stage = ExchangeStage::answered;
    return answer;
}

}  // namespace

HttpConnection::HttpConnection(std::string address, Duration connect_timeout)
    : m_address(std::move(address)), m_connect_timeout(connect_timeout) {}

ConnectResult HttpConnection::ensure_connected() {
    const bool had_one = m_session != nullptr;
    if (m_session != nullptr && m_session->connected() && !is_stale(m_session->socket())) {
        return ConnectResult::ready;
    }
    close();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(m_address), timespan(m_connect_timeout));
        socket.setNoDelay(true);
        m_session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        m_session->setKeepAlive(true);
        m_session->setKeepAliveTimeout(Poco::Timespan(KEEP_ALIVE_S, 0));
        ++m_opened;
        return had_one ? ConnectResult::replaced : ConnectResult::opened;
    } catch (const Poco::Exception&) {
        close();
        return ConnectResult::failed;
    }
}

HttpAnswer HttpConnection::exchange(const HttpRequest& request, Duration timeout) {
    HttpAnswer answer;
    if (m_session == nullptr || !m_session->connected()) {
        answer.error = "not connected";
        return answer;
    }
    answer.stage = ExchangeStage::sending;
    try {
        m_session->setTimeout(timespan(m_connect_timeout), timespan(timeout), timespan(timeout));
        send_request(*m_session, request);
        answer = read_answer(*m_session);
    } catch (const Poco::TimeoutException& error) {
        answer.timed_out = true;
        answer.error = error.displayText();
    } catch (const Poco::Exception& error) {
        answer.error = error.displayText();
    }
    if (answer.stage != ExchangeStage::answered) {
        close();
    }
    return answer;
}

void HttpConnection::close() {
    m_session.reset();
}

int HttpConnection::opened() const {
    return m_opened;
}

HttpAnswer exchange_once(const std::string& address, const HttpRequest& request, Duration timeout) {
    HttpConnection connection(address, timeout);
    if (connection.ensure_connected() == ConnectResult::failed) {
        HttpAnswer answer;
        answer.error = "cannot connect to " + address;
        return answer;
    }
    return connection.exchange(request, timeout);
}

}  // namespace ebonymount
