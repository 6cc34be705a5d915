// Settings of one node, read once at start from JSON with comments.
//
// Every key is validated: unknown keys and out-of-range values are rejected with an error that
// names the file, the key, the value found and the allowed values.
#pragma once

#include <map>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "io/log.h"

namespace ebonymount {

struct NodeSettings {
    std::string host;
    std::string data_centre;
    /// Listen address for callers' requests, which arrive through the platform's load balancer.
    std::string caller_address;
    /// Listen address of the administration API.
    std::string admin_address;
    /// Listen address for other nodes.
    std::string peer_address;
    std::string platform_address;
    /// Peer addresses by host that override the addresses in the host list.
    std::map<std::string, std::string> peer_routes;
    LogLevel log_level = LogLevel::info;
    LogFormat log_format = LogFormat::text;
    /// Duration of a target group's lease.
    Duration lease_duration = from_ms(6000);
    Duration gossip_interval = from_ms(1000);
    /// Number of peers to gossip with at each interval.
    std::int64_t gossip_fanout = 2;
    Duration platform_timeout = from_ms(1000);
    Duration host_list_interval = from_ms(1000);
    /// Maximum duration of one watch call. A stop waits for the running call to end.
    Duration watch_wait = from_ms(3000);
    /// Time without contact with the platform or any peer after which no new work is sent.
    Duration isolation_limit = from_ms(4000);
    /// Minimum time between reporting unready and refusing requests at a graceful stop, so that the
    /// load balancer can notice.
    Duration drain = from_ms(500);
    std::int64_t caller_threads = 64;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Parses settings. Errors name `file` as the source.
Result<NodeSettings> settings_from(const std::string& text, const std::string& file);

/// Reads and parses a settings file.
Result<NodeSettings> read_settings(const std::string& file);

}  // namespace ebonymount
