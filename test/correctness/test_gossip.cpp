// Gossip between nodes: cluster state only moves forward.
#include <catch2/catch.hpp>

#include "cluster/gossip.h"
#include "io/peer_documents.h"

using namespace ebonymount;

namespace {

const Time START = Time{} + from_ms(100000);

Peer make_peer(const std::string& host, std::int64_t incarnation) {
    Peer peer;
    peer.host = host;
    peer.incarnation = incarnation;
    peer.node = node_name(host, incarnation);
    peer.data_centre = "x";
    peer.address = "127.0.0.1:1";
    return peer;
}

GossipMessage message_from(const std::string& host, std::int64_t incarnation) {
    GossipMessage message;
    message.from = make_peer(host, incarnation);
    return message;
}

Configuration configuration_of_generation(std::int64_t number) {
    Configuration configuration;
    configuration.generation = number;
    return configuration;
}

}  // namespace

TEST_CASE("a lower generation never replaces a higher one") {
    ClusterState cluster;
    CHECK(adopt(cluster, configuration_of_generation(5)));
    CHECK_FALSE(adopt(cluster, configuration_of_generation(5)));
    CHECK_FALSE(adopt(cluster, configuration_of_generation(4)));
    CHECK(cluster.configuration.generation == 5);
}

TEST_CASE("a node that is behind catches up within two round trips, and then gets nothing more") {
    ClusterState ahead;
    adopt(ahead, configuration_of_generation(2));
    Placement placement;
    placement.service = "svc";
    placement.version = 4;
    adopt(ahead, placement);
    adopt(ahead, "y/0", GroupLeaseRecord{"n#1", "addr", 3, 0, 64, false, {}}, START);
    ClusterState behind;
    QuarantineList quarantine_list;
    const Time later = START + from_ms(60000);
    const GossipMessage first_request =
        make_gossip(behind, quarantine_list, make_peer("b", 1), {}, nullptr, later);
    CHECK_FALSE(first_request.configuration.has_value());
    const GossipMessage first_response =
        make_gossip(ahead, quarantine_list, make_peer("a", 1), {}, &first_request, later);
    CHECK(merge(behind, quarantine_list, first_response, later));
    CHECK(behind.configuration.generation == 2);
    REQUIRE(needs_follow_up(behind, first_response));
    const GossipMessage second_request =
        make_gossip(behind, quarantine_list, make_peer("b", 1), {}, &first_response, later);
    const GossipMessage second_response =
        make_gossip(ahead, quarantine_list, make_peer("a", 1), {}, &second_request, later);
    CHECK(merge(behind, quarantine_list, second_response, later));
    CHECK(behind.placements.at("svc").version == 4);
    CHECK(behind.groups.at("y/0").holder == "n#1");
    const GossipMessage equal_request =
        make_gossip(behind, quarantine_list, make_peer("b", 1), {}, nullptr, later);
    const GossipMessage equal_response =
        make_gossip(ahead, quarantine_list, make_peer("a", 1), {}, &equal_request, later);
    CHECK_FALSE(equal_response.details.has_value());
    CHECK(equal_response.groups.empty());
}

TEST_CASE("an out-of-service operation is pending until the generation that stores it arrives") {
    ClusterState cluster;
    QuarantineList quarantine_list;
    GossipMessage message = message_from("b", 1);
    message.pending.push_back({"op1", true, "west"});
    CHECK(merge(cluster, quarantine_list, message, START));
    CHECK(is_data_centre_out_of_service(make_view(cluster), "west"));
    Configuration stored = configuration_of_generation(1);
    stored.applied_operations = {"op1"};
    stored.out_of_service_data_centres = {"west"};
    adopt(cluster, stored);
    CHECK(cluster.pending.empty());
    CHECK_FALSE(merge(cluster, quarantine_list, message, START));
    Configuration returned_to_service = stored;
    returned_to_service.generation = 2;
    returned_to_service.out_of_service_data_centres.clear();
    adopt(cluster, returned_to_service);
    CHECK_FALSE(merge(cluster, quarantine_list, message, START));
    CHECK_FALSE(is_data_centre_out_of_service(make_view(cluster), "west"));
}

TEST_CASE("a later incarnation ends a node's epochs after max_request_time, an earlier one never") {
    ClusterState cluster;
    QuarantineList quarantine_list;
    merge(cluster, quarantine_list, message_from("a", 1), START);
    const std::vector<HolderEpoch> holders = {{"a#2", 7}};
    record_absent_nodes(cluster, holders, START);
    CHECK(ended_holders(cluster, "x/0", holders, from_ms(1000), START + from_ms(5000)).empty());
    merge(cluster, quarantine_list, message_from("a", 3), START);
    record_absent_nodes(cluster, holders, START);
    CHECK(ended_holders(cluster, "x/0", holders, from_ms(1000), START + from_ms(999)).empty());
    CHECK(ended_holders(cluster, "x/0", holders, from_ms(1000), START + from_ms(1000)) == holders);
}

TEST_CASE("a late message of an ended incarnation does not replace its successor") {
    ClusterState cluster;
    QuarantineList quarantine_list;
    merge(cluster, quarantine_list, message_from("a", 3), START);
    merge(cluster, quarantine_list, message_from("a", 2), START);
    CHECK(cluster.peers.at("a").node == "a#3");
}

TEST_CASE("a node that knows peers is isolated when it has no contact with them or the platform") {
    ClusterState cluster;
    QuarantineList quarantine_list;
    const Peer self = make_peer("a", 1);
    CHECK_FALSE(is_isolated(cluster, self, from_ms(4000), START));
    merge(cluster, quarantine_list, message_from("b", 1), START);
    CHECK_FALSE(is_isolated(cluster, self, from_ms(4000), START + from_ms(3999)));
    CHECK(is_isolated(cluster, self, from_ms(4000), START + from_ms(4000)));
    cluster.platform_last_contact = START + from_ms(3000);
    CHECK_FALSE(is_isolated(cluster, self, from_ms(4000), START + from_ms(4000)));
}

TEST_CASE("a node without direct contact is known to be alive from reports of other nodes") {
    ClusterState cluster;
    QuarantineList quarantine_list;
    GossipMessage message = message_from("b", 1);
    message.liveness_reports.push_back({"c", 4, 2000, true});
    merge(cluster, quarantine_list, message, START);
    Peer self = make_peer("a", 1);
    self.reaches_platform = true;
    CHECK(live_nodes(cluster, self, START) == std::vector<std::string>{"a#1", "b#1", "c#4"});
    CHECK(lease_candidates(cluster, self, START) == std::vector<std::string>{"a#1", "c#4"});
    CHECK(live_nodes(cluster, self, START + from_ms(8000)).size() == 2);
    // An older report does not change when the node was last alive, and a report does not count as
    // direct contact.
    message.liveness_reports[0].age_ms = 9000;
    merge(cluster, quarantine_list, message, START + from_ms(1000));
    CHECK(live_nodes(cluster, self, START + from_ms(8500)).size() == 2);
    CHECK(cluster.last_contact.count("c") == 0);
}

TEST_CASE("an empty host list is treated as a fault of its source and changes nothing") {
    ClusterState cluster;
    Peer leaving = make_peer("h", 0);
    leaving.leaving = true;
    adopt_hosts(cluster, {leaving}, START);
    adopt_hosts(cluster, {}, START);
    CHECK(cluster.leaving_hosts.count("h") == 1);
}

TEST_CASE("a gossip message is the same after decoding; another protocol version is refused") {
    GossipMessage message = message_from("a", 4);
    message.groups.push_back(
        {"x/0", GroupLeaseRecord{"a#4", "addr", 3, 9, 32, false, {{"b#1", 2}}}});
    message.ended_epochs.push_back({"x/1", 8});
    message.pending.push_back({"op", false, "host-1"});
    message.quarantine_notices.push_back({~0ULL, QuarantineState::quarantined, from_ms(10)});
    message.configuration = configuration_of_generation(3);
    const Result<GossipMessage> read = decode_gossip(encode(message));
    REQUIRE(has_value(read));
    CHECK(value_of(read).groups == message.groups);
    CHECK(value_of(read).ended_epochs == message.ended_epochs);
    CHECK(value_of(read).pending == message.pending);
    CHECK(value_of(read).quarantine_notices == message.quarantine_notices);
    CHECK(value_of(read).configuration == message.configuration);
    message.protocol = PEER_PROTOCOL_VERSION + 1;
    const Result<GossipMessage> refused = decode_gossip(encode(message));
    REQUIRE_FALSE(has_value(refused));
    CHECK(error_of(refused).message.find("protocol 2") != std::string::npos);
}
