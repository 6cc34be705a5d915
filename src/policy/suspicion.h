// Requests that may crash the targets that run them.
//
// A request whose target was lost while running it becomes suspect, by the fingerprint of its
// service and body. A suspect runs on one target before it is spread: if that target is lost too
// the request is convicted and refused for a while, if it answers the request is cleared. Losing a
// replica for another reason therefore never convicts by itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

enum class Standing : std::uint8_t { clear, suspect, convicted };

/// One entry that peers exchange. `remaining` counts down, so clocks need not agree.
struct SuspicionNotice {
    std::uint64_t fingerprint = 0;
    Standing standing = Standing::clear;
    Duration remaining{};

    friend bool operator==(const SuspicionNotice&, const SuspicionNotice&) = default;
};

/// All suspects known to a node.
struct SuspicionList {
    struct Entry {
        Standing standing = Standing::clear;
        Time expires{};
    };
    std::map<std::uint64_t, Entry> entries;
};

/// Identifies equal requests, whoever sends them.
std::uint64_t fingerprint_of(const std::string& service, const std::string& body);

/// Standing of a request at this moment.
Standing standing_of(const SuspicionList& list, std::uint64_t fingerprint, Time now);

/// Makes the request suspect unless it is convicted already.
void suspect(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Convicts the request.
void convict(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Clears a suspect whose trial on one target succeeded. A conviction stays.
void clear_suspect(SuspicionList& list, std::uint64_t fingerprint);

/// Takes over a peer's notice when it is graver than what is known here.
void merge_notice(SuspicionList& list, const SuspicionNotice& notice, Time now);

/// Notices for peers, at most `most`; expired entries are left out.
std::vector<SuspicionNotice> notices(const SuspicionList& list, std::size_t most, Time now);

/// Drops expired entries.
void forget_expired(SuspicionList& list, Time now);

}  // namespace ebonymount
