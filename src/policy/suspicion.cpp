#include "policy/suspicion.h"

#include "base/hash.h"

namespace ebonymount {

std::uint64_t fingerprint_of(const std::string& service, const std::string& body) {
    return stable_hash(service + '\0' + body);
}

Standing standing_of(const SuspicionList& list, std::uint64_t fingerprint, Time now) {
    const auto found = list.entries.find(fingerprint);
    if (found == list.entries.end() || found->second.expires <= now) {
        return Standing::clear;
    }
    return found->second.standing;
}

void suspect(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now) {
    if (standing_of(list, fingerprint, now) == Standing::convicted) {
        return;
    }
    list.entries[fingerprint] = {Standing::suspect, now + ttl};
}

void convict(SuspicionList& list, std::uint64_t fingerprint, Duration ttl, Time now) {
    list.entries[fingerprint] = {Standing::convicted, now + ttl};
}

void clear_suspect(SuspicionList& list, std::uint64_t fingerprint) {
    const auto found = list.entries.find(fingerprint);
    if (found != list.entries.end() && found->second.standing == Standing::suspect) {
        list.entries.erase(found);
    }
}

void merge_notice(SuspicionList& list, const SuspicionNotice& notice, Time now) {
    if (notice.remaining <= Duration::zero()) {
        return;
    }
    if (notice.standing > standing_of(list, notice.fingerprint, now)) {
        list.entries[notice.fingerprint] = {notice.standing, now + notice.remaining};
    }
}

std::vector<SuspicionNotice> notices(const SuspicionList& list, std::size_t max_count, Time now) {
    std::vector<SuspicionNotice> result;
    for (const auto& [fingerprint, entry] : list.entries) {
        if (result.size() >= max_count) {
            break;
        }
        if (entry.expires > now) {
            result.push_back({fingerprint, entry.standing, entry.expires - now});
        }
    }
    return result;
}

void forget_expired(SuspicionList& list, Time now) {
    std::erase_if(list.entries, [now](const auto& item) { return item.second.expires <= now; });
}

}  // namespace ebonymount
