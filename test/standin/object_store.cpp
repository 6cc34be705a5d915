#include "object_store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "io/http_status.h"

namespace standin {

using ebonymount::HandlerRequest;
using ebonymount::HandlerResponse;
using ebonymount::make_response;

namespace {

int number_or(const HandlerRequest& call, const std::string& name, int fallback) {
    const std::string text = call.parameter(name);
    return text.empty() ? fallback : std::stoi(text);
}

/// A result that makes the server close the connection without a response.
HandlerResponse dropped() {
    HandlerResponse response;
    response.drop = true;
    return response;
}

HandlerResponse versioned(int status, const std::string& body, std::int64_t version) {
    HandlerResponse response = make_response(status, body);
    response.headers["ETag"] = std::to_string(version);
    return response;
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
}

}  // namespace

HandlerResponse ObjectStore::handle(const HandlerRequest& call) {
    if (call.path == "/fault") {
        return set_faults(call);
    }
    if (call.path == "/stats") {
        return stats();
    }
    if (call.path == "/hosts" && call.method == "PUT") {
        return hosts(call);
    }
    StoreFaults faults;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        faults = m_faults;
        ++m_counts["calls"];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.slow_ms));
    if (faults.down) {
        return dropped();
    }
    if (call.path == "/objects") {
        return call.method == "PUT" ? write(call) : read(call.parameter("name"));
    }
    if (call.path == "/list") {
        return list(call.parameter("prefix"));
    }
    if (call.path == "/watch") {
        return watch(call);
    }
    if (call.path == "/hosts") {
        return hosts(call);
    }
    return make_response(ebonymount::http::NOT_FOUND, "{}");
}

HandlerResponse ObjectStore::read(const std::string& name) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts["reads"];
    const auto found = m_objects.find(name);
    if (found == m_objects.end()) {
        return versioned(ebonymount::http::NOT_FOUND, "", 0);
    }
    return versioned(ebonymount::http::OK, found->second.value, found->second.version);
}

HandlerResponse ObjectStore::write(const HandlerRequest& call) {
    const std::string name = call.parameter("name");
    const std::string match = call.header("If-Match");
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts["writes"];
    Object& object = m_objects[name];
    if (!match.empty() && std::stoll(match) != object.version) {
        ++m_counts["conflicts"];
        const std::int64_t version = object.version;
        if (version == 0) {
            m_objects.erase(name);
        }
        return versioned(ebonymount::http::PRECONDITION_FAILED, "", version);
    }
    object.version = ++m_version;
    object.value = call.body;
    m_changed.notify_all();
    if (m_faults.lost_confirmations > 0) {
        --m_faults.lost_confirmations;
        ++m_counts["lost_confirmations"];
        return dropped();
    }
    return versioned(ebonymount::http::OK, "", object.version);
}

HandlerResponse ObjectStore::list(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts["reads"];
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [name, object] : m_objects) {
        if (starts_with(name, prefix)) {
            items.push_back({{"name", name}, {"version", object.version}, {"value", object.value}});
        }
    }
    return make_response(ebonymount::http::OK, items.dump());
}

HandlerResponse ObjectStore::watch(const HandlerRequest& call) {
    const std::string prefix = call.parameter("prefix");
    const std::int64_t after = std::stoll(call.parameter("after"));
    const std::chrono::milliseconds wait(number_or(call, "wait_ms", 0));
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_counts["watches"];
    m_changed.wait_for(lock, wait, [this, &prefix, after] {
        return max_version(prefix) > after || m_faults.down;
    });
    if (m_faults.down) {
        return dropped();
    }
    return versioned(ebonymount::http::OK, "", std::max(after, max_version(prefix)));
}

HandlerResponse ObjectStore::hosts(const HandlerRequest& call) {
    if (call.method == "PUT") {
        int lag_ms = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            lag_ms = m_faults.host_lag_ms;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(lag_ms));
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_hosts = call.body;
        return make_response(ebonymount::http::OK, "{}");
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts["host_lists"];
    return make_response(ebonymount::http::OK, m_hosts);
}

HandlerResponse ObjectStore::set_faults(const HandlerRequest& call) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults.down = number_or(call, "down", m_faults.down ? 1 : 0) != 0;
    m_faults.slow_ms = number_or(call, "slow_ms", m_faults.slow_ms);
    m_faults.lost_confirmations =
        number_or(call, "lost_confirmations", m_faults.lost_confirmations);
    m_faults.host_lag_ms = number_or(call, "host_lag_ms", m_faults.host_lag_ms);
    m_changed.notify_all();
    return make_response(ebonymount::http::OK, "{}");
}

HandlerResponse ObjectStore::stats() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return make_response(ebonymount::http::OK, nlohmann::json(m_counts).dump());
}

std::int64_t ObjectStore::max_version(const std::string& prefix) const {
    std::int64_t version = 0;
    for (const auto& [name, object] : m_objects) {
        if (starts_with(name, prefix)) {
            version = std::max(version, object.version);
        }
    }
    return version;
}

}  // namespace standin
