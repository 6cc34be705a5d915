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

/// True for a list of nodes equal to the known one: this list is polled, and an unchanged one is
/// not passed on.
bool is_unchanged(const MirroredKind& known, const KindNews& news) {
    const auto is_known = [&known](const StoredObject& object) {
        const auto found = known.objects.find(object.name);
        return found != known.objects.end() && found->second == object;
    };
    return news.kind == platform::Kind::nodes && known.revision > 0 &&
           news.objects.size() == known.objects.size() &&
           std::all_of(news.objects.begin(), news.objects.end(), is_known);
}

}  // namespace

std::string encode(const StoreNews& news) {
    Json row = {{"age_us", news.age.count()}, {"trouble", news.in_trouble}};
    if (news.change.has_value()) {
        Json objects = Json::array();
        for (const StoredObject& object : news.change->objects) {
            objects.push_back(json_of(object));
        }
        row["kind"] = static_cast<int>(news.change->kind);
        row["list"] = news.change->is_list;
        row["after_outage"] = news.change->after_outage;
        row["revision"] = news.change->revision;
        row["objects"] = std::move(objects);
    }
    return row.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<StoreNews> decode_news(std::string_view line) {
    const Json row = Json::parse(line, nullptr, false);
    try {
        StoreNews news;
        news.age = Duration(row.at("age_us").get<std::int64_t>());
        news.in_trouble = row.at("trouble").get<bool>();
        if (row.contains("kind")) {
            KindNews change;
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
            news.change = std::move(change);
        }
        return news;
    } catch (const Json::exception& error) {
        return Error{ErrorCode::protocol, "malformed update from another node", error.what()};
    }
}

std::optional<KindNews> merge_update(StoreMirror& mirror, KindNews news, Time now) {
    MirroredKind& known = mirror[news.kind];
    if (news.is_list) {
        if (news.revision < known.revision || is_unchanged(known, news)) {
            return std::nullopt;
        }
        known.objects.clear();
        for (const StoredObject& object : news.objects) {
            known.objects[object.name] = object;
        }
        if (news.after_outage) {
            known.listed_after_outage = now;
        }
    } else {
        if (known.revision == 0) {
            return std::nullopt;
        }
        std::erase_if(news.objects,
                      [&known](const StoredObject& object) { return !is_newer(known, object); });
        for (const StoredObject& object : news.objects) {
            if (object.removed) {
                known.objects.erase(object.name);
            } else {
                known.objects[object.name] = object;
            }
        }
    }
    known.revision = std::max(known.revision, news.revision);
    if (!news.is_list && news.objects.empty()) {
        return std::nullopt;
    }
    return news;
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

std::vector<KindNews> lists_of(const StoreMirror& mirror, Time now) {
    std::vector<KindNews> lists;
    for (const auto& [kind, known] : mirror) {
        if (known.revision == 0) {
            continue;
        }
        KindNews list;
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
