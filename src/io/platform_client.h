// Client of the platform's object API.
//
// Every call ends as one of: done, changed by somebody else, absent, or unknown. After `unknown` a
// write may still have taken effect, so the caller has to read again before it goes on.
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

/// An object with the version that conditional updates name.
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

/// Thread-safe; calls take turns on a small pool of connections.
class PlatformClient {
public:
    PlatformClient(std::string address, Duration timeout, Metrics& metrics);

    PlatformRead read(const std::string& name);

    /// Writes if the object still has `version`; version 0 means that it must not exist.
    PlatformWrite write(const std::string& name, std::int64_t version, const std::string& value);

    /// All objects whose names start with `prefix`.
    PlatformList list(const std::string& prefix);

    /// Waits until an object with the prefix has a version above `after`, or the time is over. The
    /// returned version is the highest under the prefix.
    PlatformWrite watch(const std::string& prefix, std::int64_t after, Duration wait);

    /// The platform's host list as JSON text.
    PlatformRead hosts();

private:
    HttpResponse call(const HttpRequest& request, Duration timeout);
    std::unique_ptr<HttpConnection> take_connection();
    void give_back(std::unique_ptr<HttpConnection> connection);

    std::string m_address;
    Duration m_timeout;
    Counter& m_calls;
    Counter& m_failures;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

}  // namespace ebonymount
