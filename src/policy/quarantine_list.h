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

enum class QuarantineState : std::uint8_t { clear, suspect, quarantined };

/// One entry that peers exchange. `remaining` counts down, so clocks need not agree.
struct QuarantineNotice {
    std::uint64_t fingerprint = 0;
    QuarantineState quarantine_state = QuarantineState::clear;
    Duration remaining{};

    friend bool operator==(const QuarantineNotice&, const QuarantineNotice&) = default;
};

/// All suspects known to a node.
struct QuarantineList {
    struct Entry {
        QuarantineState quarantine_state = QuarantineState::clear;
        Time expires{};
    };
    std::map<std::uint64_t, Entry> entries;
};

/// Identifies equal requests, whoever sends them.
std::uint64_t fingerprint_of(const std::string& service, const std::string& body);

/// Standing of a request at this moment.
QuarantineState quarantine_state_of(const QuarantineList& list, std::uint64_t fingerprint,
                                    Time now);

/// Makes the request suspect unless it is convicted already.
void suspect(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Convicts the request.
void quarantine(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now);

/// Clears a suspect whose trial on one target succeeded. A conviction stays.
void clear_suspect(QuarantineList& list, std::uint64_t fingerprint);

/// Takes over a peer's notice when it is graver than what is known here.
void merge_notice(QuarantineList& list, const QuarantineNotice& notice, Time now);

/// Notices for peers, at most `most`; expired entries are left out.
std::vector<QuarantineNotice> notices(const QuarantineList& list, std::size_t most, Time now);

/// Drops expired entries.
void forget_expired(QuarantineList& list, Time now);

}  // namespace ebonymount
