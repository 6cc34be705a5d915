#include "front/store_mirror.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

#include "io/json_text.h"
#include "policy/target_registry.h"

namespace ebonymount {
namespace {

/// Favours speed: entries of one kind are much alike.
constexpr int COMPRESSION_LEVEL = 1;

/// A message that is longer when inflated is malformed; 4,200 targets take about a megabyte.
constexpr std::size_t MAX_INFLATED_BYTES = 16000000;

using Json = nlohmann::json;
using platform::StoredObject;

Json json_of(const StoredObject& object) {
    return Json::array(
        {object.name, object.revision, object.removed, object.deleting, object.spec});
}

StoredObject object_from(const Json& fields) {
    StoredObject object;
    object.name = fields.at(0).get<std::string>();
    object.revision = fields.at(1).get<std::int64_t>();
    object.removed = fields.at(2).get<bool>();
    object.deleting = fields.at(3).get<bool>();
    object.spec = fields.at(4).get<std::string>();
    return object;
}

bool is_newer(const MirroredKind& mirrored, const StoredObject& object) {
    const auto found = mirrored.objects.find(object.name);
    if (found == mirrored.objects.end()) {
        // An object that the copy should have, by its position, has been removed since.
        return !object.removed && object.revision > mirrored.position.revision;
    }
    return object.removed ? object.revision >= found->second.revision
                          : object.revision > found->second.revision;
}

/// Applies a change to the mirror as the changes before it have left it. False if it is not newer.
bool apply_if_newer(MirroredKind& mirrored, const StoredObject& object) {
    if (!is_newer(mirrored, object)) {
        return false;
    }
    if (object.removed) {
        mirrored.objects.erase(object.name);
    } else {
        mirrored.objects[object.name] = object;
    }
    return true;
}

/// True for a list that says nothing new. The list of nodes is polled, so it is the same at many
/// revisions. Without this check, nodes that follow each other would pass one list round and round.
bool is_repeated_list(const MirroredKind& mirrored, const KindUpdate& update, Time now) {
    const auto is_mirrored = [&mirrored](const StoredObject& object) {
        const auto found = mirrored.objects.find(object.name);
        return found != mirrored.objects.end() && found->second == object;
    };
    const bool is_polled = update.kind == platform::Kind::nodes;
    const bool tells_of_outage =
        update.after_outage && !(mirrored.listed_after_outage.has_value() &&
                                 now - *mirrored.listed_after_outage < REREGISTRATION_TIME);
    return mirrored.position.revision > 0 && update.position.era == mirrored.position.era &&
           (is_polled || update.position == mirrored.position) && !tells_of_outage &&
           update.objects.size() == mirrored.objects.size() &&
           std::all_of(update.objects.begin(), update.objects.end(), is_mirrored);
}

/// True if times can be computed from the age without overflow, and none is in the future.
bool is_plausible(const StatedAge& stated) {
    constexpr Duration LIMIT = std::chrono::hours(24 * 365 * 100);
    const Duration written = stated.written.value_or(Duration::zero());
    return stated.age >= Duration::zero() && stated.age < LIMIT && written > -LIMIT &&
           written < LIMIT;
}

/// The member's rows of a kind and a number; rows that cannot be read are left out.
std::map<platform::Kind, std::int64_t> numbers_by_kind(const Json& document, const char* member) {
    std::map<platform::Kind, std::int64_t> numbers;
    const auto rows = document.find(member);
    for (const Json& row : rows == document.end() ? Json::array() : *rows) {
        const bool is_valid = row.is_array() && row.size() == 2 && row.at(0).is_number_integer() &&
                              row.at(1).is_number_integer();
        const int kind = is_valid ? row.at(0).get<int>() : -1;
        if (kind >= 0 && kind < platform::KIND_COUNT) {
            numbers[static_cast<platform::Kind>(kind)] = row.at(1).get<std::int64_t>();
        }
    }
    return numbers;
}

/// Inflates text; at most `MAX_INFLATED_BYTES` of it are returned.
std::string inflate(const std::string& text) {
    std::istringstream encoded(text);
    Poco::Base64Decoder decoder(encoded, Poco::BASE64_URL_ENCODING);
    Poco::InflatingInputStream inflating(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string inflated;
    std::array<char, 16384> chunk{};
    while (inflated.size() < MAX_INFLATED_BYTES && inflating.good()) {
        inflating.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        inflated.append(chunk.data(), static_cast<std::size_t>(inflating.gcount()));
    }
    return inflated;
}

}  // namespace

std::string encode(const StoreUpdate& update) {
    Json message = {{"age_us", update.stated.age.count()},
                    {"trouble", update.store_failed_recently}};
    if (update.stated.written.has_value()) {
        message["written_us"] = update.stated.written->count();
    }
    if (!update.origin.empty()) {
        message["origin"] = update.origin;
    }
    if (update.change.has_value()) {
        Json objects = Json::array();
        for (const StoredObject& object : update.change->objects) {
            objects.push_back(json_of(object));
        }
        message["kind"] = static_cast<int>(update.change->kind);
        message["list"] = update.change->is_list;
        message["after_outage"] = update.change->after_outage;
        message["revision"] = update.change->position.revision;
        if (update.change->position.era != UNKNOWN_ERA) {
            message["era"] = update.change->position.era;
        }
        message["objects"] = std::move(objects);
    }
    return message.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string encode_compressed(const StoreUpdate& update) {
    std::ostringstream deflated;
    Poco::Base64Encoder encoder(deflated, Poco::BASE64_URL_ENCODING);
    Poco::DeflatingOutputStream compressor(encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                           COMPRESSION_LEVEL);
    compressor << encode(update);
    compressor.close();
    encoder.close();
    return Json{{"deflated", deflated.str()}}.dump() + "\n";
}

Result<StoreUpdate> decode_store_update(std::string_view line) {
    Result<Json> parsed = parse_json_text(line);
    try {
        if (has_value(parsed) && value_of(parsed).contains("deflated")) {
            parsed = parse_json_text(inflate(value_of(parsed).at("deflated").get<std::string>()));
        }
        if (!has_value(parsed)) {
            return error_of(parsed);
        }
        const Json& message = value_of(parsed);
        StoreUpdate update;
        update.stated.age = Duration(message.at("age_us").get<std::int64_t>());
        if (message.contains("written_us")) {
            update.stated.written = Duration(message.at("written_us").get<std::int64_t>());
        }
        if (!is_plausible(update.stated)) {
            return Error{ErrorCode::protocol, "implausible age in an update", std::string(line)};
        }
        update.store_failed_recently = message.at("trouble").get<bool>();
        update.origin = message.value("origin", std::string());
        if (message.contains("kind")) {
            KindUpdate change;
            const int kind = message.at("kind").get<int>();
            if (kind < 0 || kind >= platform::KIND_COUNT) {
                return Error{ErrorCode::protocol, "update of an unknown kind",
                             std::to_string(kind)};
            }
            change.kind = static_cast<platform::Kind>(kind);
            change.is_list = message.at("list").get<bool>();
            change.after_outage = message.at("after_outage").get<bool>();
            change.position = {message.value("era", UNKNOWN_ERA),
                               message.at("revision").get<std::int64_t>()};
            if (!is_valid_era(change.position.era)) {
                return Error{ErrorCode::protocol, "implausible era in an update",
                             std::to_string(change.position.era)};
            }
            for (const Json& object : message.at("objects")) {
                change.objects.push_back(object_from(object));
            }
            update.change = std::move(change);
        }
        return update;
    } catch (const Json::exception& error) {
        return Error{ErrorCode::protocol, "malformed update from another node", error.what()};
    } catch (const Poco::Exception& error) {
        return Error{ErrorCode::protocol, "malformed compressed update", error.displayText()};
    }
}

std::optional<KindUpdate> merge_update(StoreMirror& mirror, KindUpdate update, Time now) {
    MirroredKind& mirrored = mirror[update.kind];
    update.position = with_era_of(update.position, mirrored.position);
    if (update.is_list) {
        if (update.position < mirrored.position || is_repeated_list(mirrored, update, now)) {
            return std::nullopt;
        }
        update.after_return =
            mirrored.position.era != UNKNOWN_ERA && update.position.era > mirrored.position.era;
        mirrored.objects.clear();
        for (const StoredObject& object : update.objects) {
            mirrored.objects[object.name] = object;
        }
        if (update.after_outage) {
            mirrored.listed_after_outage = now;
        }
    } else {
        if (mirrored.position.revision == 0 || update.position.era != mirrored.position.era) {
            return std::nullopt;
        }
        std::vector<StoredObject> newer;
        for (StoredObject& object : update.objects) {
            if (apply_if_newer(mirrored, object)) {
                newer.push_back(std::move(object));
            }
        }
        update.objects = std::move(newer);
    }
    mirrored.position = std::max(mirrored.position, update.position);
    if (!update.is_list && update.objects.empty()) {
        return std::nullopt;
    }
    return update;
}

StorePosition position_of(const StoreMirror& mirror, platform::Kind kind) {
    const auto found = mirror.find(kind);
    return found == mirror.end() ? StorePosition{} : found->second.position;
}

void withdraw_eras_after(StoreMirror& mirror, std::int64_t era) {
    for (auto& [kind, mirrored] : mirror) {
        mirrored.position.era = std::min(mirrored.position.era, era - 1);
    }
}

bool is_complete(const StoreMirror& mirror) {
    for (int kind = 0; kind < platform::KIND_COUNT; ++kind) {
        if (position_of(mirror, static_cast<platform::Kind>(kind)).revision == 0) {
            return false;
        }
    }
    return true;
}

KindPositions positions_of(const StoreMirror& mirror) {
    KindPositions positions;
    for (const auto& [kind, mirrored] : mirror) {
        if (mirrored.position.revision > 0) {
            positions[kind] = mirrored.position;
        }
    }
    return positions;
}

std::string encode(const FollowRequest& request) {
    // Eras have rows of their own, as earlier versions of this program accept rows of two numbers.
    Json revisions = Json::array();
    Json eras = Json::array();
    for (const auto& [kind, position] : request.known) {
        revisions.push_back({static_cast<int>(kind), position.revision});
        if (position.era != UNKNOWN_ERA) {
            eras.push_back({static_cast<int>(kind), position.era});
        }
    }
    Json message = {{"revisions", std::move(revisions)},
                    {"compressed", request.accepts_compressed}};
    if (request.reads_eras) {
        message["eras"] = std::move(eras);
    }
    return message.dump();
}

FollowRequest decode_follow_request(const std::string& text) {
    FollowRequest request;
    request.reads_eras = false;
    const Result<Json> parsed = parse_json_text(text);
    if (!has_value(parsed) || !value_of(parsed).is_object()) {
        return request;
    }
    const Json& document = value_of(parsed);
    const auto compressed = document.find("compressed");
    request.accepts_compressed =
        compressed != document.end() && compressed->is_boolean() && compressed->get<bool>();
    for (const auto& [kind, revision] : numbers_by_kind(document, "revisions")) {
        request.known[kind].revision = revision;
    }
    request.reads_eras = document.contains("eras");
    for (const auto& [kind, era] : numbers_by_kind(document, "eras")) {
        const auto known = request.known.find(kind);
        if (known != request.known.end() && is_valid_era(era)) {
            known->second.era = era;
        }
    }
    return request;
}

std::string encode(const Member& node) {
    return Json{{"node", node.node}, {"data_centre", node.data_centre}, {"address", node.address}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Member> decode_member(const std::string& text) {
    const Result<Json> parsed = parse_json_text(text);
    if (!has_value(parsed)) {
        return std::nullopt;
    }
    try {
        const Json& fields = value_of(parsed);
        const Member node = {fields.at("node").get<std::string>(),
                             fields.at("data_centre").get<std::string>(),
                             fields.at("address").get<std::string>()};
        return platform::is_socket_address(node.address) ? std::optional<Member>(node)
                                                         : std::nullopt;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::vector<KindUpdate> lists_of(const StoreMirror& mirror, const FollowRequest& follower,
                                 Time now) {
    std::vector<KindUpdate> lists;
    for (const auto& [kind, mirrored] : mirror) {
        const auto found = follower.known.find(kind);
        StorePosition known = found == follower.known.end() ? StorePosition{} : found->second;
        if (!follower.reads_eras) {
            known = with_era_of(known, mirrored.position);
        }
        if (with_era_of(mirrored.position, known) <= known) {
            continue;
        }
        KindUpdate list;
        list.kind = kind;
        list.is_list = true;
        list.position = mirrored.position;
        list.after_outage = mirrored.listed_after_outage.has_value() &&
                            now - *mirrored.listed_after_outage < REREGISTRATION_TIME;
        for (const auto& [name, object] : mirrored.objects) {
            list.objects.push_back(object);
        }
        lists.push_back(std::move(list));
    }
    return lists;
}

}  // namespace ebonymount
