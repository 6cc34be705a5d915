// Keeps the node's cluster state in sync with the platform: reads configuration, placements and
// host list, and stores out-of-service operations that were made while the platform was down.
#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "io/platform_client.h"
#include "node/node_state.h"

namespace ebonymount {

/// Name of the object with the accepted configuration.
constexpr const char* CONFIGURATION_OBJECT = "config/table";

/// Prefix of the placement objects, one for each service.
constexpr const char* PLACEMENT_PREFIX = "config/placement/";

/// Prefix of all objects that nodes watch: the configuration and the placements.
constexpr const char* CONFIGURATION_PREFIX = "config/";

/// The accepted configuration with the version of its object; generation 0 when there is none.
struct StoredConfiguration {
    Configuration configuration;
    std::int64_t version = 0;
};

/// Reads the accepted configuration from the platform.
Result<StoredConfiguration> read_configuration(PlatformClient& platform);

/// Replaces `base` by `next`. `conflict` means that another write came first; after `unavailable`
/// the write may have taken effect.
Result<Done> write_configuration(PlatformClient& platform, const StoredConfiguration& base,
                                 const Configuration& next);

/// Adds an operation to the configuration's list of applied operations. Drops the oldest entry when
/// the list is full.
void record_applied_operation(Configuration& configuration, const std::string& operation);

/// Stores an out-of-service operation. Succeeds without a write if it is already stored.
Result<Done> store_out_of_service(PlatformClient& platform, const PendingOutOfService& pending_out);

class PlatformSync {
public:
    PlatformSync(NodeState& state, PlatformClient& platform);
    ~PlatformSync();
    PlatformSync(const PlatformSync&) = delete;
    PlatformSync& operator=(const PlatformSync&) = delete;
    PlatformSync(PlatformSync&&) = delete;
    PlatformSync& operator=(PlatformSync&&) = delete;

    void start();
    void stop();

private:
    void run_watch();
    void run_host_list();
    bool load_objects();
    void adopt_object(const PlatformObject& object);
    void load_host_list();
    void store_pending();
    Duration host_list_interval() const;
    void pause(Duration duration);
    bool is_stopping() const;

    NodeState& m_state;
    PlatformClient& m_platform;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    /// Highest version among the objects last loaded; -1 before the first load.
    std::int64_t m_loaded_version = -1;
    std::thread m_watch_thread;
    std::thread m_host_thread;
};

}  // namespace ebonymount
