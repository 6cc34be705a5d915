#include "io/http_server.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>

#include "io/exception_guard.h"
#include "io/http_status.h"

namespace ebonymount {
namespace {

/// Long, because callers may keep idle connections open between requests.
constexpr Duration IDLE_TIMEOUT = from_ms(3600000);

/// Maximum time from the first byte of a request to the end of its header.
constexpr Duration HEADER_TIMEOUT = from_ms(30000);

/// Body of the response to a request whose handler ended with an exception.
constexpr const char* UNKNOWN_OUTCOME =
    R"({"error":"internal","message":"internal error","offender":"","verdict":"may_have_run"})";

constexpr Duration SWEEP_INTERVAL = from_ms(1000);

/// Interval at which a stopping server checks for requests that are still being served.
constexpr std::chrono::milliseconds STOP_POLL(2);

HandlerRequest handler_request_from(HttpRequestMessage request, const std::string& client) {
    HandlerRequest handler_request;
    handler_request.method = std::move(request.method);
    handler_request.client = client;
    const Poco::URI uri(request.target);
    handler_request.path = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters()) {
        handler_request.query[name] = value;
    }
    for (const HttpHeader& header : request.headers) {
        handler_request.headers[Poco::toLower(header.name)] = header.value;
    }
    handler_request.body = std::move(request.body);
    return handler_request;
}

HttpResponseMessage response_message_from(HandlerResponse handler_response) {
    HttpResponseMessage response;
    response.status = handler_response.status;
    response.headers.push_back({"Content-Type", handler_response.content_type});
    for (const auto& [name, value] : handler_response.headers) {
        response.headers.push_back({name, value});
    }
    response.body = std::move(handler_response.body);
    return response;
}

}  // namespace

std::string HandlerRequest::header(const std::string& name) const {
    const auto found = headers.find(Poco::toLower(name));
    return found == headers.end() ? "" : found->second;
}

std::string HandlerRequest::parameter(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

HttpServer::HttpServer(HttpHandler handler) : m_handler(std::move(handler)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions& options,
                                                      HttpHandler handler) {
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
    HttpListenerOptions listener_options;
    listener_options.limits.max_body_bytes = options.max_body_bytes;
    listener_options.header_timeout = HEADER_TIMEOUT;
    listener_options.idle_timeout = IDLE_TIMEOUT;
    Result<Done> started = Done{};
    server->run_on_loop([&] {
        Result<std::shared_ptr<HttpListener>> listener = HttpListener::listen(
            server->m_loop, options.address, listener_options,
            [self = server.get()](const std::shared_ptr<HttpServerConnection>& connection,
                                  HttpRequestMessage request) {
                self->enqueue(connection, std::move(request));
            });
        if (!has_value(listener)) {
            started = error_of(listener);
            return;
        }
        server->m_listener = value_of(listener);
        server->m_address = server->m_listener->address();
        server->sweep();
    });
    if (!has_value(started)) {
        return error_of(started);
    }
    for (int i = 0; i < options.threads; ++i) {
        server->m_workers.emplace_back([self = server.get()] { self->run_worker(); });
    }
    return server;
}

HttpServer::~HttpServer() {
    stop(true);
}

void HttpServer::run_on_loop(const std::function<void()>& task) {
    std::promise<void> done;
    m_loop.post([&task, &done] {
        run_guarded("server", task);
        done.set_value();
    });
    done.get_future().wait();
}

void HttpServer::sweep() {
    run_guarded("server", [this] { m_listener->sweep(monotonic_now()); });
    m_loop.run_at(monotonic_now() + SWEEP_INTERVAL, [this] { sweep(); });
}

void HttpServer::enqueue(const std::shared_ptr<HttpServerConnection>& connection,
                         HttpRequestMessage request) {
    HandlerRequest handler_request;
    try {
        handler_request = handler_request_from(std::move(request), connection->client_address());
    } catch (const Poco::Exception& error) {
        const Error unreadable{ErrorCode::invalid_input, "the request's path cannot be parsed",
                               error.displayText()};
        connection->respond(response_message_from(error_response(http::BAD_REQUEST, unreadable)));
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_jobs.emplace_back([this, connection, handler_request] {
        HandlerResponse handler_response;
        const auto handle = [&] {
            handler_response = m_handler(handler_request);
        };
        if (!run_guarded("server", handle)) {
            handler_response = make_response(http::INTERNAL_ERROR, UNKNOWN_OUTCOME);
        }
        m_loop.post([connection, handler_response] {
            if (handler_response.drop) {
                connection->drop();
            } else {
                connection->respond(response_message_from(handler_response));
            }
        });
    });
    m_job_available.notify_one();
}

void HttpServer::run_worker() {
    while (true) {
        std::function<void()> job;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_job_available.wait(lock, [this] { return m_closing || !m_jobs.empty(); });
            if (m_jobs.empty()) {
                return;
            }
            job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        run_guarded("server", job);
    }
}

std::size_t HttpServer::busy_connections() {
    std::size_t busy = 0;
    run_on_loop([this, &busy] {
        m_listener->close_idle();
        busy = m_listener->busy_connections();
    });
    return busy;
}

void HttpServer::stop(bool abort) {
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    if (m_listener != nullptr) {
        run_on_loop([this] {
            m_listener->stop_accepting();
            m_listener->close_after_responses();
        });
        while (!abort && busy_connections() > 0) {
            std::this_thread::sleep_for(STOP_POLL);
        }
        run_on_loop([this] { m_listener->close(); });
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closing = true;
    }
    m_job_available.notify_all();
    for (std::thread& worker : m_workers) {
        worker.join();
    }
    m_loop.stop();
}

std::string HttpServer::address() const {
    return m_address;
}

HandlerResponse make_response(int status, std::string body) {
    HandlerResponse handler_response;
    handler_response.status = status;
    handler_response.body = std::move(body);
    return handler_response;
}

HandlerResponse error_response(int status, const Error& error) {
    const nlohmann::json body = {{"error", name_of(error.code)},
                                 {"message", error.message},
                                 {"offender", error.offender},
                                 {"verdict", "not_run"}};
    return make_response(status,
                         body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace ebonymount
