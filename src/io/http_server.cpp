#include "io/http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "io/http_status.h"

namespace ebonymount {
namespace {

constexpr int IDLE_CONNECTION_S = 3600;

/// Pause before connections are told again that the server stops.
constexpr std::chrono::milliseconds STOP_POLL(2);

/// Time for the rest of a request after its first byte.
constexpr int RECEIVE_S = 30;

/// Reads the body up to a limit; false when it is longer.
bool read_body(std::istream& input, std::size_t most, std::string& body) {
    std::array<char, 16384> chunk{};
    while (input.read(chunk.data(), chunk.size()) || input.gcount() > 0) {
        body.append(chunk.data(), static_cast<std::size_t>(input.gcount()));
        if (body.size() > most) {
            return false;
        }
    }
    return true;
}

HttpCall read_head(const Poco::Net::HTTPServerRequest& request) {
    HttpCall call;
    call.method = request.getMethod();
    call.client = request.clientAddress().toString();
    const Poco::URI uri(request.getURI());
    call.path = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters()) {
        call.query[name] = value;
    }
    for (const auto& [name, value] : request) {
        call.headers[Poco::toLower(name)] = value;
    }
    return call;
}

void send_reply(Poco::Net::HTTPServerResponse& response, const HttpReply& reply) {
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    response.setContentType(reply.content_type);
    for (const auto& [name, value] : reply.headers) {
        response.set(name, value);
    }
    response.sendBuffer(reply.body.data(), reply.body.size());
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
    Handler(const HttpHandler& handler, std::size_t most_body_bytes)
        : m_handler(handler), m_most_body_bytes(most_body_bytes) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
        try {
            const HttpReply reply = handle(request);
            if (reply.drop) {
                Poco::Net::HTTPServerRequestImpl& connection =
                    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
                connection.socket().setLinger(true, 0);
                connection.socket().close();
                return;
            }
            if (reply.status == http::TOO_LARGE) {
                response.setKeepAlive(false);
            }
            send_reply(response, reply);
        } catch (const Poco::Exception&) {
            // The caller went away; there is nobody to answer.
        }
    }

private:
    HttpReply handle(Poco::Net::HTTPServerRequest& request) {
        HttpCall call;
        try {
            call = read_head(request);
        } catch (const Poco::Exception& error) {
            return error_reply(
                http::BAD_REQUEST,
                {ErrorCode::invalid_input, "the request's path cannot be read", request.getURI()});
        }
        if (!read_body(request.stream(), m_most_body_bytes, call.body)) {
            return error_reply(http::TOO_LARGE,
                               {ErrorCode::invalid_input, "the body is longer than allowed",
                                std::to_string(m_most_body_bytes) + " bytes"});
        }
        const std::streamsize announced = request.getContentLength();
        if (announced != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
            static_cast<std::size_t>(announced) != call.body.size()) {
            return error_reply(http::BAD_REQUEST,
                               {ErrorCode::invalid_input, "the body is shorter than announced",
                                std::to_string(announced) + " bytes"});
        }
        return m_handler(call);
    }

    const HttpHandler& m_handler;
    std::size_t m_most_body_bytes;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    HandlerFactory(HttpHandler handler, std::size_t most_body_bytes)
        : m_handler(std::move(handler)), m_most_body_bytes(most_body_bytes) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new Handler(m_handler, m_most_body_bytes);  // NOLINT: POCO takes ownership.
    }

private:
    HttpHandler m_handler;
    std::size_t m_most_body_bytes;
};

Poco::Net::HTTPServerParams* make_params(int threads) {
    Poco::Net::HTTPServerParams* params = new Poco::Net::HTTPServerParams;  // NOLINT: POCO owns it.
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(IDLE_CONNECTION_S, 0));
    params->setTimeout(Poco::Timespan(RECEIVE_S, 0));
    params->setMaxThreads(threads);
    params->setMaxQueued(threads * 4);
    return params;
}

}  // namespace

std::string HttpCall::header(const std::string& name) const {
    const auto found = headers.find(Poco::toLower(name));
    return found == headers.end() ? "" : found->second;
}

std::string HttpCall::parameter(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions& options,
                                                      HttpHandler handler) {
    std::unique_ptr<HttpServer> server(new HttpServer);
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(options.address), true);
        socket.listen(512);
        server->m_address = socket.address().toString();
        server->m_threads = std::make_unique<Poco::ThreadPool>(2, options.threads + 1);
        server->m_server = std::make_unique<Poco::Net::HTTPServer>(
            new HandlerFactory(std::move(handler), options.most_body_bytes), *server->m_threads,
            socket, make_params(options.threads));
        server->m_server->start();
    } catch (const Poco::Exception& error) {
        return Error{ErrorCode::unavailable, "cannot serve HTTP: " + error.displayText(),
                     options.address};
    }
    return server;
}

HttpServer::~HttpServer() {
    stop(true);
}

void HttpServer::stop(bool abort) {
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    // A connection that was being accepted at that moment has not heard of the stop yet.
    do {
        m_server->stopAll(abort);
        std::this_thread::sleep_for(STOP_POLL);
    } while (m_server->currentConnections() > 0);
    m_threads->joinAll();
}

std::string HttpServer::address() const {
    return m_address;
}

HttpReply make_reply(int status, std::string body) {
    HttpReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

HttpReply error_reply(int status, const Error& error) {
    const nlohmann::json body = {{"error", name_of(error.code)},
                                 {"message", error.message},
                                 {"offender", error.offender},
                                 {"verdict", "not_run"}};
    return make_reply(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace ebonymount
