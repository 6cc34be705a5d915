// Requests that crash the targets that run them.
//
// Such a request comes again, at any node, and would take down one target after the other. A
// request whose connection to a target broke while it ran is a suspect; one that broke several is
// refused. Nodes share the counts, so that a crash seen by one counts for all.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/time.h"

namespace ebonymount {

/// Crashes after which a request is refused.
constexpr std::int64_t CRASHES_TO_QUARANTINE = 3;

struct Suspect {
    std::int64_t crashes = 0;
    Time last{};

    friend bool operator==(const Suspect&, const Suspect&) = default;
};

/// Suspects by fingerprint.
struct Quarantine {
    std::unordered_map<std::uint64_t, Suspect> suspects;
};

/// What makes two requests the same: method, host, path with query, and body.
std::uint64_t fingerprint(std::string_view method, std::string_view host, std::string_view target,
                          std::string_view body);

/// Records crashes seen by this or another node.
void add_crashes(Quarantine& quarantine, std::uint64_t request, std::int64_t crashes, Time now);

/// True when the request must not be sent to any target.
bool is_quarantined(const Quarantine& quarantine, std::uint64_t request);

/// Forgets suspects that have not crashed a target for a long time.
void forget_old_suspects(Quarantine& quarantine, Time now);

}  // namespace ebonymount
