#include "io/peer_documents.h"

#include "io/document_reader.h"
#include "io/json_text.h"

namespace ebonymount {
namespace {

/// Value of a nested document; throws its error as the error of the enclosing document.
template <typename T>
T value_or_throw(const Result<T>& part) {
    user_check(has_value(part)) << describe(error_of(part));
    return value_of(part);
}

Peer read_peer(const Json& document) {
    JsonReader reader(document, "host");
    Peer peer;
    peer.host = reader.text("host");
    peer.data_centre = reader.text("data_centre");
    peer.incarnation = reader.integer_or("incarnation", 0, MAX_INTEGER, 0);
    peer.node = peer.incarnation == 0 ? "" : node_name(peer.host, peer.incarnation);
    peer.address = reader.text_or("address", "");
    peer.leaving = reader.boolean_or("leaving", false);
    peer.reaches_platform = reader.boolean_or("reaches_platform", false);
    reader.finish();
    return peer;
}

Json peer_document(const Peer& peer) {
    Json document = {{"host", peer.host},
                     {"data_centre", peer.data_centre},
                     {"incarnation", peer.incarnation},
                     {"address", peer.address}};
    if (peer.leaving) {
        document["leaving"] = true;
    }
    if (peer.reaches_platform) {
        document["reaches_platform"] = true;
    }
    return document;
}

std::vector<Peer> read_hosts(const Json& document) {
    JsonReader reader(document, "");
    std::vector<Peer> hosts;
    for (const Json& host : reader.array("hosts")) {
        hosts.push_back(read_peer(host));
    }
    reader.finish();
    return hosts;
}

Json gossip_document(const GossipMessage& message) {
    Json document = {{"protocol", message.protocol},
                     {"from", peer_document(message.from)},
                     {"generation", message.generation},
                     {"digest", message.digest}};
    for (const LivenessReport& report : message.liveness_reports) {
        document["alive"].push_back(
            {report.host, report.incarnation, report.age_ms, report.reaches_platform});
    }
    if (message.details.has_value()) {
        document["placement_versions"] = message.details->placement_versions;
        document["seat_digests"] = message.details->group_digests;
    }
    for (const GroupLeaseUpdate& update : message.groups) {
        document["seats"].push_back(
            {{"seat", update.group}, {"record", to_document(update.record)}});
    }
    for (const EndedEpoch& ended : message.ended_epochs) {
        document["left_seats"].push_back({{"seat", ended.group}, {"epoch", ended.epoch}});
    }
    for (const PendingOutOfService& pending_out : message.pending) {
        document["pending"].push_back({{"operation", pending_out.operation},
                                       {"is_data_centre", pending_out.is_data_centre},
                                       {"name", pending_out.name}});
    }
    for (const QuarantineNotice& notice : message.quarantine_notices) {
        document["suspicions"].push_back({{"fingerprint", std::to_string(notice.fingerprint)},
                                          {"standing", static_cast<int>(notice.quarantine_state)},
                                          {"remaining_us", notice.remaining.count()}});
    }
    if (message.configuration.has_value()) {
        document["configuration"] = to_document(*message.configuration);
    }
    for (const Placement& placement : message.placements) {
        document["placements"].push_back(to_document(placement));
    }
    return document;
}

GroupLeaseUpdate read_lease_update(const Json& document) {
    JsonReader reader(document, "seats[]");
    GroupLeaseUpdate update;
    update.group = reader.text("seat");
    update.record = value_or_throw(group_lease_from(reader.member("record")));
    return update;
}

EndedEpoch read_ended_epoch(const Json& document) {
    JsonReader reader(document, "left_seats[]");
    return {reader.text("seat"), reader.integer("epoch", 0, MAX_INTEGER)};
}

PendingOutOfService read_pending_out_of_service(const Json& document) {
    JsonReader reader(document, "pending[]");
    return {reader.text("operation"), reader.boolean_or("is_data_centre", true),
            reader.text("name")};
}

QuarantineNotice read_quarantine_notice(const Json& document) {
    JsonReader reader(document, "suspicions[]");
    QuarantineNotice notice;
    notice.fingerprint = reader.hash("fingerprint");
    notice.quarantine_state = static_cast<QuarantineState>(reader.integer("standing", 0, 2));
    notice.remaining = Duration(reader.integer("remaining_us", 0, MAX_INTEGER));
    return notice;
}

/// Reads a liveness report. It is a list instead of an object to keep gossip messages small, as
/// each carries several.
LivenessReport read_liveness(const Json& document) {
    constexpr std::size_t FIELDS = 4;
    user_check(document.is_array() && document.size() == FIELDS)
        << "alive[] is not a list of 4 values: " << document.dump();
    LivenessReport report;
    report.host = document.at(0).get<std::string>();
    report.incarnation = document.at(1).get<std::int64_t>();
    report.age_ms = document.at(2).get<std::int64_t>();
    report.reaches_platform = document.at(3).get<bool>();
    user_check(report.age_ms >= 0) << "alive[] has a negative age: " << document.dump();
    return report;
}

GossipMessage read_gossip(const Json& document) {
    JsonReader reader(document, "");
    GossipMessage message;
    message.protocol = reader.integer("protocol", 0, MAX_INTEGER);
    user_check(message.protocol == PEER_PROTOCOL_VERSION)
        << "peer uses protocol " << message.protocol << ", this node uses "
        << PEER_PROTOCOL_VERSION;
    message.from = read_peer(reader.member("from"));
    message.generation = reader.integer("generation", 0, MAX_INTEGER);
    message.digest = reader.member("digest").get<std::uint64_t>();
    if (const Json* versions = reader.find("placement_versions")) {
        GossipDetails details;
        details.placement_versions = versions->get<std::map<std::string, std::int64_t>>();
        details.group_digests =
            reader.member("seat_digests").get<std::map<std::string, std::uint64_t>>();
        message.details = details;
    }
    for (const Json& report : reader.array("alive")) {
        message.liveness_reports.push_back(read_liveness(report));
    }
    for (const Json& update : reader.array("seats")) {
        message.groups.push_back(read_lease_update(update));
    }
    for (const Json& ended : reader.array("left_seats")) {
        message.ended_epochs.push_back(read_ended_epoch(ended));
    }
    for (const Json& pending_out : reader.array("pending")) {
        message.pending.push_back(read_pending_out_of_service(pending_out));
    }
    for (const Json& notice : reader.array("suspicions")) {
        message.quarantine_notices.push_back(read_quarantine_notice(notice));
    }
    if (const Json* configuration = reader.find("configuration")) {
        message.configuration = value_or_throw(configuration_from(*configuration));
    }
    for (const Json& placement : reader.array("placements")) {
        message.placements.push_back(value_or_throw(placement_from(placement)));
    }
    return message;
}

}  // namespace

Result<std::vector<Peer>> hosts_from(const Json& document) {
    return read_document<std::vector<Peer>>(document, "host list", read_hosts);
}

std::string encode(const GossipMessage& message) {
    std::string bytes;
    Json::to_msgpack(gossip_document(message), bytes);
    return bytes;
}

Result<GossipMessage> decode_gossip(std::string_view bytes) {
    if (is_msgpack_nested_too_deeply(bytes)) {
        return Error{ErrorCode::protocol, "gossip message is nested too deeply", "gossip message"};
    }
    try {
        const Json document = Json::from_msgpack(bytes.begin(), bytes.end());
        return read_document<GossipMessage>(document, "gossip message", read_gossip);
    } catch (const Json::exception& error) {
        return Error{ErrorCode::protocol,
                     std::string("gossip message is not MessagePack: ") + error.what(),
                     "gossip message"};
    }
}

}  // namespace ebonymount
