#include "policy/target_registry.h"

#include <algorithm>

namespace ebonymount {

namespace {

/// Part of the drain bound in which a target is used; the rest is left for a request on its way.
constexpr double LATEST_USE_SHARE = 0.93;

void erase(TargetRegistry& registry, const std::string& id, Time now) {
    registry.missing.erase(id);
    registry.entries.erase(id);
    registry.left.emplace(id, now);
    ++registry.generation;
}

/// True if an entry of a list is not to be used yet.
bool is_unconfirmed(const TargetRegistry& registry, const TargetEntry& entry, ListOrigin origin) {
    if (origin != ListOrigin::after_return) {
        const auto waiting = registry.unconfirmed.find(entry.id);
        const bool is_unwritten =
            waiting != registry.unconfirmed.end() && waiting->second.entry == entry;
        return is_unwritten;
    }
    const auto known = registry.entries.find(entry.id);
    const bool has_left = registry.left.count(entry.id) > 0 || registry.missing.count(entry.id) > 0;
    return has_left || (known != registry.entries.end() && known->second != entry);
}

}  // namespace

void replace_all(TargetRegistry& registry, const std::vector<TargetEntry>& list, ListOrigin origin,
                 Time now, Time latest) {
    std::map<std::string, TargetEntry> entries;
    std::map<std::string, UnconfirmedEntry> unconfirmed;
    for (const TargetEntry& entry : list) {
        if (!is_unconfirmed(registry, entry, origin)) {
            entries.emplace(entry.id, entry);
            registry.left.erase(entry.id);
            continue;
        }
        unconfirmed[entry.id] = origin == ListOrigin::after_return
                                    ? UnconfirmedEntry{entry, now + REWRITE_TIME}
                                    : registry.unconfirmed.at(entry.id);
        const auto known = registry.entries.find(entry.id);
        if (known != registry.entries.end() && registry.missing.count(entry.id) == 0) {
            entries.emplace(entry.id, known->second);
        }
    }
    const bool may_return = origin != ListOrigin::regular;
    const Time until =
        may_return ? now + REREGISTRATION_TIME : std::min(now + REMOVAL_GRACE, latest);
    std::map<std::string, Time> missing;
    for (const auto& [id, entry] : registry.entries) {
        if (entries.count(id) > 0) {
            continue;
        }
        if (entry.draining) {
            registry.left.emplace(id, now);
            continue;
        }
        const auto already_missing = registry.missing.find(id);
        entries.emplace(id, entry);
        missing[id] = already_missing != registry.missing.end() ? already_missing->second : until;
    }
    registry.entries.swap(entries);
    registry.missing.swap(missing);
    registry.unconfirmed.swap(unconfirmed);
    ++registry.generation;
}

void upsert(TargetRegistry& registry, const TargetEntry& entry) {
    registry.missing.erase(entry.id);
    registry.left.erase(entry.id);
    registry.unconfirmed.erase(entry.id);
    registry.entries[entry.id] = entry;
    ++registry.generation;
}

Time latest_use(Time after, Duration drain) {
    return after + scaled(drain, LATEST_USE_SHARE);
}

void remove(TargetRegistry& registry, const std::string& id, Time now, Time latest) {
    registry.unconfirmed.erase(id);
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (found->second.draining) {
        erase(registry, id, now);
        return;
    }
    registry.missing.emplace(id, std::min(now + REMOVAL_GRACE, latest));
}

void withhold(TargetRegistry& registry, const std::string& id, Time until) {
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end() || registry.unconfirmed.count(id) > 0) {
        return;
    }
    registry.unconfirmed[id] = {found->second, until};
    registry.missing.erase(id);
    registry.entries.erase(found);
    ++registry.generation;
}

std::vector<std::string> expire_missing(TargetRegistry& registry, Time now) {
    std::erase_if(registry.left,
                  [now](const auto& entry) { return now - entry.second > WITHDRAWAL_MEMORY; });
    std::vector<std::string> gone;
    for (const auto& [id, until] : registry.missing) {
        if (until <= now) {
            gone.push_back(id);
        }
    }
    for (const std::string& id : gone) {
        erase(registry, id, now);
    }
    return gone;
}

bool is_of_later_start(const TargetRegistry& registry, const TargetEntry& entry) {
    const auto known = registry.entries.find(entry.id);
    return known != registry.entries.end() && entry.started_at_ms > known->second.started_at_ms;
}

std::vector<std::string> accept_unconfirmed(TargetRegistry& registry, Time now) {
    std::vector<TargetEntry> accepted;
    for (const auto& [id, waiting] : registry.unconfirmed) {
        if (waiting.until <= now) {
            accepted.push_back(waiting.entry);
        }
    }
    std::vector<std::string> ids;
    for (const TargetEntry& entry : accepted) {
        const auto known = registry.entries.find(entry.id);
        if (known != registry.entries.end() && entry.started_at_ms < known->second.started_at_ms) {
            registry.unconfirmed.erase(entry.id);
            continue;
        }
        upsert(registry, entry);
        ids.push_back(entry.id);
    }
    return ids;
}

}  // namespace ebonymount
