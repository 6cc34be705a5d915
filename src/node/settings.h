// Settings of one node, read once at start from JSON with comments.
//
// Every key is checked: unknown keys and values out of bounds are refused with the file, the key,
// what was found and what is allowed.
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
    /// Where callers' requests are taken; behind the platform's balancer.
    std::string caller_address;
    /// Where the administration API is served.
    std::string admin_address;
    /// Where other nodes connect.
    std::string peer_address;
    std::string platform_address;
    /// Other addresses for peers, by host, where a route differs from what the host list says.
    std::map<std::string, std::string> peer_routes;
    LogLevel log_level = LogLevel::info;
    LogForm log_form = LogForm::text;
    Duration lease = from_ms(6000);
    Duration gossip_interval = from_ms(1000);
    std::int64_t gossip_fanout = 2;
    Duration platform_timeout = from_ms(1000);
    Duration host_list_interval = from_ms(1000);
    /// Longest wait of one watch call; a stop waits for the call to end.
    Duration watch_wait = from_ms(3000);
    /// Silence of platform and peers after which no new work is sent.
    Duration isolation_limit = from_ms(4000);
    /// Time between turning unready and refusing requests, for the balancer to notice.
    Duration drain = from_ms(500);
    std::int64_t caller_threads = 64;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Parses settings; `file` names the source in errors.
Result<NodeSettings> settings_from(const std::string& text, const std::string& file);

/// Reads and parses a settings file.
Result<NodeSettings> read_settings(const std::string& file);

}  // namespace ebonymount
