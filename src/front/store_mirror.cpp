#include "front/store_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "policy/target_registry.h"

namespace ebonymount {
namespace {

using Json = nlohmann::json;
using platform::StoredObject;

Json json_of(const StoredObject& object) {
    return Json::array(
        {object.name, object.revision, object.removed, object.deleting, object.spec});
}

StoredObject object_from(const Json& row) {
    StoredObject object;
    object.name = row.at(0).get<std::string>();
    object.revision = row.at(1).get<std::int64_t>();
    object.removed = row.at(2).get<bool>();
    object.deleting = row.at(3).get<bool>();
    object.spec = row.at(4).get<std::string>();
    return object;
}

bool is_newer(const MirroredKind& known, const StoredObject& object) {
    const auto found = known.objects.find(object.name);
    if (found == known.objects.end()) {
        return !object.removed;
    }
    return object.removed ? object.revision >= found->second.revision
                          : object.revision > found->second.revision;
}

/// True for a list of nodes equal to the mirrored one: this list is polled, and an unchanged one is
/// not passed on.
bool is_unchanged(const MirroredKind& known, const KindUpdate& update) {
    const auto is_known = [&known](const StoredObject& object) {
        const auto found = known.objects.find(object.name);
        return found != known.objects.end() && found->second == object;
    };
    return update.kind == platform::Kind::nodes && known.revision > 0 &&
           update.objects.size() == known.objects.size() &&
           std::all_of(update.objects.begin(), update.objects.end(), is_known);
}

}  // namespace

std::string encode(const StoreUpdate& update) {
    Json row = {{"age_us", update.age.count()}, {"trouble", update.in_trouble}};
    if (update.change.has_value()) {
        Json objects = Json::array();
        for (const StoredObject& object : update.change->objects) {
            objects.push_back(json_of(object));
        }
        row["kind"] = static_cast<int>(update.change->kind);
        row["list"] = update.change->is_list;
        row["after_outage"] = update.change->after_outage;
        row["revision"] = update.change->revision;
        row["objects"] = std::move(objects);
    }
    return row.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<StoreUpdate> decode_store_update(std::string_view line) {
    const Json row = Json::parse(line, nullptr, false);
    try {
        StoreUpdate update;
        update.age = Duration(row.at("age_us").get<std::int64_t>());
        update.in_trouble = row.at("trouble").get<bool>();
        if (row.contains("kind")) {
            KindUpdate change;
            const int kind = row.at("kind").get<int>();
            if (kind < 0 || kind >= platform::KINDS) {
                return Error{ErrorCode::protocol, "update of an unknown kind",
                             std::to_string(kind)};
            }
            change.kind = static_cast<platform::Kind>(kind);
            change.is_list = row.at("list").get<bool>();
            change.after_outage = row.at("after_outage").get<bool>();
            change.revision = row.at("revision").get<std::int64_t>();
            for (const Json& object : row.at("objects")) {
                change.objects.push_back(object_from(object));
            }
            update.change = std::move(change);
        }
        return update;
    } catch (const Json::exception& error) {
        return Error{ErrorCode::protocol, "malformed update from another node", error.what()};
    }
}

std::optional<KindUpdate> merge_update(StoreMirror& mirror, KindUpdate update, Time now) {
    MirroredKind& known = mirror[update.kind];
    if (update.is_list) {
        if (update.revision < known.revision || is_unchanged(known, update)) {
            return std::nullopt;
        }
        known.objects.clear();
        for (const StoredObject& object : update.objects) {
            known.objects[object.name] = object;
        }
        if (update.after_outage) {
            known.listed_after_outage = now;
        }
    } else {
        if (known.revision == 0) {
            return std::nullopt;
        }
        std::erase_if(update.objects,
                      [&known](const StoredObject& object) { return !is_newer(known, object); });
        for (const StoredObject& object : update.objects) {
            if (object.removed) {
                known.objects.erase(object.name);
            } else {
                known.objects[object.name] = object;
            }
        }
    }
    known.revision = std::max(known.revision, update.revision);
    if (!update.is_list && update.objects.empty()) {
        return std::nullopt;
    }
    return update;
}

std::int64_t revision_of(const StoreMirror& mirror, platform::Kind kind) {
    const auto found = mirror.find(kind);
    return found == mirror.end() ? 0 : found->second.revision;
}

bool is_complete(const StoreMirror& mirror) {
    for (int kind = 0; kind < platform::KINDS; ++kind) {
        if (revision_of(mirror, static_cast<platform::Kind>(kind)) == 0) {
            return false;
        }
    }
    return true;
}

std::vector<KindUpdate> lists_of(const StoreMirror& mirror, Time now) {
    std::vector<KindUpdate> lists;
    for (const auto& [kind, known] : mirror) {
        if (known.revision == 0) {
            continue;
        }
        KindUpdate list;
        list.kind = kind;
        list.is_list = true;
        list.revision = known.revision;
        list.after_outage = known.listed_after_outage.has_value() &&
                            now - *known.listed_after_outage < REREGISTRATION_TIME;
        for (const auto& [name, object] : known.objects) {
            list.objects.push_back(object);
        }
        lists.push_back(std::move(list));
    }
    return lists;
}

}  // namespace ebonymount
