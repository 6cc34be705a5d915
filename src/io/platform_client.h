// Client of the platform's object API.
//
// Every call ends with a `StoreStatus`: done, conflict (the object has another version), absent or
// unknown. After `unknown` a write may have taken effect, so the caller must read the object before
// it writes again.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cluster/store_status.h"
#include "io/http_client.h"
#include "io/metrics.h"

namespace ebonymount {

/// An object with its version, on which writes are conditional.
struct PlatformObject {
    std::string name;
    std::int64_t version = 0;
    std::string value;

    friend bool operator==(const PlatformObject&, const PlatformObject&) = default;
};

struct PlatformRead {
    StoreStatus status = StoreStatus::unknown;
    PlatformObject object;
};

struct PlatformWrite {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
};

struct PlatformList {
    StoreStatus status = StoreStatus::unknown;
    std::vector<PlatformObject> objects;
};

/// Thread-safe; each call uses a connection from a pool, or a new one when none is idle.
class PlatformClient {
public:
    PlatformClient(std::string address, Duration timeout, Metrics& metrics);

    PlatformRead read(const std::string& name);

    /// Writes if the object still has `version`; version 0 means that it must not exist.
    PlatformWrite write(const std::string& name, std::int64_t version, const std::string& value);

    /// Reads all objects whose names start with `prefix`.
    PlatformList list(const std::string& prefix);

    /// Long poll: waits until an object with the prefix has a version above `after`, or for `wait`.
    /// The returned version is the highest under the prefix.
    PlatformWrite watch(const std::string& prefix, std::int64_t after, Duration wait);

    /// Reads the platform's host list, as JSON text in `object.value`.
    PlatformRead hosts();

private:
    HttpResponse call(const HttpRequest& request, Duration timeout);
    std::unique_ptr<HttpConnection> acquire_connection();
    void release_connection(std::unique_ptr<HttpConnection> connection);

    std::string m_address;
    Duration m_timeout;
    Counter& m_calls;
    Counter& m_failures;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpConnection>> m_idle_connections;
};

}  // namespace ebonymount
