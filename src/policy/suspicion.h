// Quarantine of requests that may crash the targets that run them ("queries of death").
//
// A request whose target was lost while running it becomes suspected, identified by the fingerprint
// of its service and body. A suspected request is first probed on a single target: if that target
// is lost too, the request is quarantined and refused for a while; if the target responds, the
// request is cleared. A replica that is lost for another reason therefore never causes a quarantine
// by itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// Quarantine state of a request, in ascending order of severity.
enum class Standing : std::uint8_t { clear, suspect, convicted };

/// One entry as sent by gossip. It carries the remaining time, so that clocks need not agree.
struct SuspicionNotice {
    std::uint64_t fingerprint = 0;
    Standing standing = Standing::clear;
    Duration remaining{};

    friend bool operator==(const SuspicionNotice&, const SuspicionNotice&) = default;
};

/// All suspected and quarantined requests known to a node, by fingerprint.
struct SuspicionList {
    struct Entry {
        Standing standing = Standing::clear;
        Time expires{};
    };
    std::map<std::uint64_t, Entry> entries;
};

/// Identifies equal requests from any caller.
std::uint64_t fingerprint_of(const std::string& service, const std::string& body);

/// Quarantine state of a request at `now`.
Standing standing_of(const SuspicionList& list, std::uint64_t fingerprint, Time now);

/// Marks the request as suspected for `ttl`, unless it is quarantined.
void suspect(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Quarantines the request for `ttl`.
void convict(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Clears a suspected request whose probe succeeded. A quarantined request stays quarantined.
void clear_suspect(SuspicionList& list, std::uint64_t fingerprint);

/// Applies a notice from a peer if it is more severe than the state known here.
void merge_notice(SuspicionList& list, const SuspicionNotice& notice, Time now);

/// Up to `max_count` notices for peers, without expired entries.
std::vector<SuspicionNotice> notices(const SuspicionList& list, std::size_t max_count, Time now);

/// Drops expired entries.
void forget_expired(SuspicionList& list, Time now);

}  // namespace ebonymount
