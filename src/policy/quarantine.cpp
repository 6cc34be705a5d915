#include "policy/quarantine.h"

#include <string>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// A request that has crashed nothing for this long is given another chance.
constexpr Duration SUSPICION_TIME = from_ms(600000);

}  // namespace

std::uint64_t fingerprint(std::string_view method, std::string_view host, std::string_view target,
                          std::string_view body) {
    std::string text;
    text.reserve(method.size() + host.size() + target.size() + body.size() + 3);
    text.append(method).append(1, '\0').append(host).append(1, '\0');
    text.append(target).append(1, '\0').append(body);
    return stable_hash(text);
}

void add_crashes(Quarantine& quarantine, std::uint64_t request, std::int64_t crashes, Time now) {
    Suspect& suspect = quarantine.suspects[request];
    suspect.crashes += crashes;
    suspect.last = now;
}

bool is_quarantined(const Quarantine& quarantine, std::uint64_t request) {
    if (quarantine.suspects.empty()) {
        return false;
    }
    const auto found = quarantine.suspects.find(request);
    return found != quarantine.suspects.end() && found->second.crashes >= CRASHES_TO_QUARANTINE;
}

void forget_old_suspects(Quarantine& quarantine, Time now) {
    std::erase_if(quarantine.suspects,
                  [now](const auto& entry) { return now - entry.second.last > SUSPICION_TIME; });
}

}  // namespace ebonymount
