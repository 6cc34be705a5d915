#include "io/platform_client.h"

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include "io/http_status.h"

namespace ebonymount {
namespace {

StoreStatus status_of(const HttpResponse& response) {
    if (response.stage != ExchangeStage::answered) {
        return StoreStatus::unknown;
    }
    switch (response.status) {
        case http::OK:
            return StoreStatus::done;
        case http::NOT_FOUND:
            return StoreStatus::absent;
        case http::PRECONDITION_FAILED:
            return StoreStatus::conflict;
        default:
            return StoreStatus::unknown;
    }
}

std::string escape(const std::string& text) {
    std::string escaped;
    Poco::URI::encode(text, "/?&=#+% ", escaped);
    return escaped;
}

std::int64_t version_of(const HttpResponse& response) {
    const auto found = response.headers.find("ETag");
    if (found == response.headers.end()) {
        return 0;
    }
    try {
        return std::stoll(found->second);
    } catch (const std::exception&) {
        return 0;
    }
}

std::vector<PlatformObject> parse_list(const std::string& body) {
    std::vector<PlatformObject> objects;
    for (const nlohmann::json& item : nlohmann::json::parse(body)) {
        objects.push_back({item.at("name").get<std::string>(),
                           item.at("version").get<std::int64_t>(),
                           item.at("value").get<std::string>()});
    }
    return objects;
}

}  // namespace

PlatformClient::PlatformClient(std::string address, Duration timeout, Metrics& metrics)
    : m_address(std::move(address)),
      m_timeout(timeout),
      m_calls(metrics.counter("ebonymount_platform_calls_total")),
      m_failures(metrics.counter("ebonymount_platform_failures_total")) {}

PlatformRead PlatformClient::read(const std::string& name) {
    const HttpResponse response = call({"GET", "/objects?name=" + escape(name), {}, ""}, m_timeout);
    return {status_of(response), {name, version_of(response), response.body}};
}

PlatformWrite PlatformClient::write(const std::string& name, std::int64_t version,
                                    const std::string& value) {
    const std::map<std::string, std::string> headers = {{"If-Match", std::to_string(version)}};
    const HttpResponse response =
        call({"PUT", "/objects?name=" + escape(name), headers, value}, m_timeout);
    return {status_of(response), version_of(response)};
}

PlatformList PlatformClient::list(const std::string& prefix) {
    const HttpResponse response =
        call({"GET", "/list?prefix=" + escape(prefix), {}, ""}, m_timeout);
    PlatformList list;
    list.status = status_of(response);
    if (list.status == StoreStatus::done) {
        try {
            list.objects = parse_list(response.body);
        } catch (const std::exception&) {
            list.status = StoreStatus::unknown;
        }
    }
    return list;
}

PlatformWrite PlatformClient::watch(const std::string& prefix, std::int64_t after, Duration wait) {
    const std::string wait_ms = std::to_string(wait.count() / 1000);
    const std::string path = "/watch?prefix=" + escape(prefix) + "&after=" + std::to_string(after) +
                             "&wait_ms=" + wait_ms;
    const HttpResponse response = call({"GET", path, {}, ""}, wait + m_timeout);
    return {status_of(response), version_of(response)};
}

PlatformRead PlatformClient::hosts() {
    const HttpResponse response = call({"GET", "/hosts", {}, ""}, m_timeout);
    return {status_of(response), {"hosts", 0, response.body}};
}

HttpResponse PlatformClient::call(const HttpRequest& request, Duration timeout) {
    ++m_calls;
    std::unique_ptr<HttpConnection> connection = acquire_connection();
    HttpResponse response;
    if (connection->ensure_connected() != ConnectResult::failed) {
        response = connection->exchange(request, timeout);
    }
    if (status_of(response) == StoreStatus::unknown) {
        ++m_failures;
    }
    if (response.stage == ExchangeStage::answered) {
        release_connection(std::move(connection));
    }
    return response;
}

std::unique_ptr<HttpConnection> PlatformClient::acquire_connection() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle_connections.empty()) {
        return std::make_unique<HttpConnection>(m_address, m_timeout);
    }
    std::unique_ptr<HttpConnection> connection = std::move(m_idle_connections.back());
    m_idle_connections.pop_back();
    return connection;
}

void PlatformClient::release_connection(std::unique_ptr<HttpConnection> connection) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_idle_connections.push_back(std::move(connection));
}

}  // namespace ebonymount
