// HTTP server for handlers that may block.
//
// Requests are read whole, up to a limit, before the handler runs. Malformed and oversized
// requests are rejected here and never reach a handler.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/result.h"
#include "io/event_loop.h"
#include "io/http_listener.h"

namespace ebonymount {

/// One complete request.
struct HandlerRequest {
    std::string method;
    std::string path;
    /// Address of the caller's end of the connection.
    std::string client;
    std::map<std::string, std::string> query;
    /// By name in lower case; of repeated headers only the last.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a header, or empty. The name's case is ignored.
    std::string header(const std::string& name) const;

    /// Value of a query parameter, or empty.
    std::string parameter(const std::string& name) const;
};

struct HandlerResponse {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    /// Resets the connection without a response, to simulate a crash.
    bool drop = false;
};

using HttpHandler = std::function<HandlerResponse(const HandlerRequest&)>;

/// Address, number of worker threads and body limit of a server.
struct HttpServerOptions {
    std::string address;
    int threads = 16;
    std::size_t max_body_bytes = 1 << 20;
};

/// Runs connections on an event loop and blocking handlers on worker threads, so an open
/// connection does not occupy a thread.
class HttpServer {
public:
    /// Binds the address and starts the workers. The error names the address that cannot be bound.
    static Result<std::unique_ptr<HttpServer>> start(const HttpServerOptions& options,
                                                     HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    HttpServer(HttpServer&&) = delete;
    HttpServer& operator=(HttpServer&&) = delete;

    /// Stops accepting and waits for the requests being served. With `abort`, closes their
    /// connections at once and waits only for running and queued handlers.
    void stop(bool abort);

    /// The bound address, with the port that the system chose if none was given.
    std::string address() const;

private:
    explicit HttpServer(HttpHandler handler);
    void run_worker();
    void enqueue(const std::shared_ptr<HttpServerConnection>& connection,
                 HttpRequestMessage request);
    void sweep();
    std::size_t busy_connections();
    void run_on_loop(const std::function<void()>& task);

    HttpHandler m_handler;
    EventLoop m_loop;
    std::shared_ptr<HttpListener> m_listener;
    std::string m_address;
    std::vector<std::thread> m_workers;
    std::mutex m_mutex;
    std::condition_variable m_job_available;
    std::deque<std::function<void()>> m_jobs;
    bool m_closing = false;
    bool m_stopped = false;
};

/// A response with a JSON body.
HandlerResponse make_response(int status, std::string body);

/// A response with an error as JSON: code, message, offender and the verdict "not_run".
HandlerResponse error_response(int status, const Error& error);

}  // namespace ebonymount
