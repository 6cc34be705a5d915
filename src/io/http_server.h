// HTTP server on POCO with one function as its handler.
//
// Requests are read whole, up to a limit, before the handler runs. Malformed and oversized
// requests are answered here, so no handler ever sees them.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"

namespace ebonymount {

/// One request, read whole.
struct HttpCall {
    std::string method;
    std::string path;
    /// Address of the other end of the connection.
    std::string client;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a header in any case, or empty.
    std::string header(const std::string& name) const;

    /// Value of a query parameter, or empty.
    std::string parameter(const std::string& name) const;
};

struct HttpReply {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    /// Closes the connection without an answer; for stand-ins that crash.
    bool drop = false;
};

using HttpHandler = std::function<HttpReply(const HttpCall&)>;

/// Options of a server.
struct HttpServerOptions {
    std::string address;
    int threads = 16;
    std::size_t most_body_bytes = 1 << 20;
};

class HttpServer {
public:
    static Result<std::unique_ptr<HttpServer>> start(const HttpServerOptions& options,
                                                     HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    HttpServer(HttpServer&&) = delete;
    HttpServer& operator=(HttpServer&&) = delete;

    /// Stops accepting; with `abort` open connections are closed at once.
    void stop(bool abort);

    /// The address with the port that the system chose if none was given.
    std::string address() const;

private:
    HttpServer() = default;

    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
    std::string m_address;
    bool m_stopped = false;
};

/// A reply with a JSON body.
HttpReply make_reply(int status, std::string body);

/// A reply with an error as JSON: code, message, offender and verdict "not_run".
HttpReply error_reply(int status, const Error& error);

}  // namespace ebonymount
