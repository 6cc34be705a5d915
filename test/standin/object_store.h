// Stand-in for the object API of ebonymountd's platform: versions, conditional updates, watches,
// and faults that can be set while it runs. `PlatformStore` is its counterpart for
// ebonymount_front.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "io/http_server.h"

namespace standin {

/// Faults in effect.
struct StoreFaults {
    /// Connections are closed without a response.
    bool down = false;
    /// Delay of each call.
    int slow_ms = 0;
    /// Number of further writes that take effect without a response.
    int lost_confirmations = 0;
    /// Milliseconds until a change of the host list takes effect.
    int host_lag_ms = 0;
};

/// Serves the object API and the host list. For tests, also serves PUT /hosts (replaces the host
/// list), /fault (sets faults) and /stats (number of calls of each kind).
class ObjectStore {
public:
    ebonymount::HandlerResponse handle(const ebonymount::HandlerRequest& call);

private:
    struct Object {
        std::int64_t version = 0;
        std::string value;
    };

    ebonymount::HandlerResponse read(const std::string& name);
    ebonymount::HandlerResponse write(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse list(const std::string& prefix);
    ebonymount::HandlerResponse watch(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse hosts(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse set_faults(const ebonymount::HandlerRequest& call);
    ebonymount::HandlerResponse stats() const;
    /// Highest version of the objects with this name prefix; 0 without any.
    std::int64_t max_version(const std::string& prefix) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Object> m_objects;
    std::int64_t m_version = 0;
    std::string m_hosts = "{\"hosts\":[]}";
    StoreFaults m_faults;
    std::map<std::string, std::int64_t> m_counts;
};

}  // namespace standin
