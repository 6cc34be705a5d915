#include "policy/quarantine_list.h"

#include "base/hash.h"

namespace ebonymount {

std::uint64_t fingerprint_of(const std::string& service, const std::string& body) {
    return stable_hash(service + '\0' + body);
}

QuarantineState quarantine_state_of(const QuarantineList& list, std::uint64_t fingerprint,
                                    Time now) {
    const auto found = list.entries.find(fingerprint);
    if (found == list.entries.end() || found->second.expires <= now) {
        return QuarantineState::clear;
    }
    return found->second.quarantine_state;
}

void suspect(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now) {
    if (quarantine_state_of(list, fingerprint, now) == QuarantineState::quarantined) {
        return;
    }
    list.entries[fingerprint] = {QuarantineState::suspect, now + ttl};
}

void quarantine(QuarantineList& list, std::uint64_t fingerprint, Duration ttl, Time now) {
    list.entries[fingerprint] = {QuarantineState::quarantined, now + ttl};
}

void clear_suspect(QuarantineList& list, std::uint64_t fingerprint) {
    const auto found = list.entries.find(fingerprint);
    if (found != list.entries.end() && found->second.quarantine_state == QuarantineState::suspect) {
        list.entries.erase(found);
    }
}

void merge_notice(QuarantineList& list, const QuarantineNotice& notice, Time now) {
    if (notice.remaining <= Duration::zero()) {
        return;
    }
    if (notice.quarantine_state > quarantine_state_of(list, notice.fingerprint, now)) {
        list.entries[notice.fingerprint] = {notice.quarantine_state, now + notice.remaining};
    }
}

std::vector<QuarantineNotice> notices(const QuarantineList& list, std::size_t max_count, Time now) {
    std::vector<QuarantineNotice> result;
    for (const auto& [fingerprint, entry] : list.entries) {
        if (result.size() >= max_count) {
            break;
        }
        if (entry.expires > now) {
            result.push_back({fingerprint, entry.quarantine_state, entry.expires - now});
        }
    }
    return result;
}

void drop_expired(QuarantineList& list, Time now) {
    std::erase_if(list.entries, [now](const auto& item) { return item.second.expires <= now; });
}

}  // namespace ebonymount
