#include "policy/target_registry.h"

namespace ebonymount {

namespace {

void erase(TargetRegistry& registry, const std::string& id) {
    registry.missing.erase(id);
    registry.entries.erase(id);
    ++registry.generation;
}

}  // namespace

void replace_all(TargetRegistry& registry, const std::vector<TargetEntry>& list, bool after_outage,
                 Time now) {
    std::map<std::string, TargetEntry> entries;
    for (const TargetEntry& entry : list) {
        entries.emplace(entry.id, entry);
    }
    const Time until = now + (after_outage ? REREGISTRATION_TIME : REMOVAL_GRACE);
    std::map<std::string, Time> missing;
    for (const auto& [id, entry] : registry.entries) {
        if (entries.count(id) == 0 && !entry.draining) {
            const auto already_missing = registry.missing.find(id);
            entries.emplace(id, entry);
            missing[id] =
                already_missing != registry.missing.end() ? already_missing->second : until;
        }
    }
    registry.entries.swap(entries);
    registry.missing.swap(missing);
    ++registry.generation;
}

void upsert(TargetRegistry& registry, const TargetEntry& entry) {
    registry.missing.erase(entry.id);
    registry.entries[entry.id] = entry;
    ++registry.generation;
}

void remove(TargetRegistry& registry, const std::string& id, Time now) {
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (found->second.draining) {
        erase(registry, id);
        return;
    }
    registry.missing.emplace(id, now + REMOVAL_GRACE);
}

std::vector<std::string> expire_missing(TargetRegistry& registry, Time now) {
    std::vector<std::string> gone;
    for (const auto& [id, until] : registry.missing) {
        if (until <= now) {
            gone.push_back(id);
        }
    }
    for (const std::string& id : gone) {
        erase(registry, id);
    }
    return gone;
}

}  // namespace ebonymount
