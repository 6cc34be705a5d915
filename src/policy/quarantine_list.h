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
enum class QuarantineState : std::uint8_t { clear, suspect, quarantined };

/// One entry as sent to peers by gossip. It carries the remaining time, so that clocks need not
/// agree.
struct QuarantineNotice {
    std::uint64_t fingerprint = 0;
    QuarantineState quarantine_state = QuarantineState::clear;
    Duration remaining{};

    friend bool operator==(const QuarantineNotice&, const QuarantineNotice&) = default;
};

/// All suspected and quarantined requests known to a node, by fingerprint.
struct QuarantineList {
    struct Entry {
        QuarantineState quarantine_state = QuarantineState::clear;
        Time expires{};
    };
    std::map<std::uint64_t, Entry> entries;
};

/// Identifies equal requests from any caller.
std::uint64_t fingerprint_of(const std::string& service, const std::string& body);

/// Quarantine state of a request at `now`.
QuarantineState quarantine_state_of(const QuarantineList& list, std::uint64_t fingerprint,
                                    Time now);

/// Marks the request as suspected for `ttl`, unless it is quarantined.
void suspect(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Quarantines the request for `ttl`.
void quarantine(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Clears a suspected request whose probe succeeded. A quarantined request stays quarantined.
void clear_suspect(QuarantineList& list, std::uint64_t fingerprint);

/// Applies a notice from a peer if it is more severe than the state known here.
void merge_notice(QuarantineList& list, const QuarantineNotice& notice, Time now);

/// Up to `max_count` notices for peers, without expired entries.
std::vector<QuarantineNotice> notices(const QuarantineList& list, std::size_t max_count, Time now);

/// Drops expired entries.
void drop_expired(QuarantineList& list, Time now);

}  // namespace ebonymount
