// Blocking HTTP client that reports how far an exchange got, which decides the verdict.
//
// For threads that may block: the command line, the relay's workers, load tools. It uses the same
// codec as the connections on event loops.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "base/verdict.h"

namespace ebonymount {

/// How far an exchange got.
enum class ExchangeStage : std::uint8_t {
    not_connected,  ///< No connection; no byte of the request was sent.
    sending,        ///< Sending began, but no whole response arrived; the request may have run.
    answered,       ///< The whole response arrived.
};

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse {
    ExchangeStage stage = ExchangeStage::not_connected;
    bool timed_out = false;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string error;
};

/// Result of `HttpConnection::ensure_connected`.
enum class ConnectResult : std::uint8_t {
    ready,     ///< The connection was already open.
    opened,    ///< There was no connection; one was opened.
    replaced,  ///< The peer had closed it or sent unexpected bytes; another was opened.
    failed,    ///< No connection could be opened.
};

/// A connection to one address that is kept open between exchanges.
class HttpConnection {
public:
    HttpConnection(std::string address, Duration connect_timeout);

    /// Opens the connection unless it is open and idle.
    ConnectResult ensure_connected();

    /// Sends the request on the open connection and reads the whole response. If the response does
    /// not arrive whole, the connection is closed, so a late response cannot reach another request.
    HttpResponse exchange(const HttpRequest& request, Duration timeout);

    void close();

    /// Number of connections opened so far.
    int opened() const;

private:
    std::string m_address;
    Duration m_connect_timeout;
    std::optional<Poco::Net::StreamSocket> m_socket;
    int m_opened = 0;
};

/// One exchange on a connection of its own.
HttpResponse exchange_once(const std::string& address, const HttpRequest& request,
                           Duration timeout);

}  // namespace ebonymount
