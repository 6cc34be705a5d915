// Gossip between nodes: cluster state only moves forward.
#include <catch2/catch.hpp>

#include "cluster/exchange.h"
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

Exchange message_from(const std::string& host, std::int64_t incarnation) {
    Exchange exchange;
    exchange.from = make_peer(host, incarnation);
    return exchange;
}

Configuration generation(std::int64_t number) {
    Configuration configuration;
    configuration.generation = number;
    return configuration;
}

}  // namespace

TEST_CASE("a lower generation never replaces a higher one") {
    ClusterKnowledge knowledge;
    CHECK(adopt(knowledge, generation(5)));
    CHECK_FALSE(adopt(knowledge, generation(5)));
    CHECK_FALSE(adopt(knowledge, generation(4)));
    CHECK(knowledge.configuration.generation == 5);
}

TEST_CASE("a node that is behind catches up within two round trips, and then gets nothing more") {
    ClusterKnowledge ahead;
    adopt(ahead, generation(2));
    Placement placement;
    placement.service = "svc";
    placement.version = 4;
    adopt(ahead, placement);
    adopt(ahead, "y/0", SeatRecord{"n#1", "addr", 3, 0, 64, false, {}}, START);
    ClusterKnowledge behind;
    SuspicionList none;
    const Time later = START + from_ms(60000);
    const Exchange question = make_exchange(behind, none, make_peer("b", 1), {}, nullptr, later);
    CHECK_FALSE(question.configuration.has_value());
    const Exchange answer = make_exchange(ahead, none, make_peer("a", 1), {}, &question, later);
    CHECK(merge(behind, none, answer, later));
    CHECK(behind.configuration.generation == 2);
    REQUIRE(needs_follow_up(behind, answer));
    const Exchange second = make_exchange(behind, none, make_peer("b", 1), {}, &answer, later);
    const Exchange rest = make_exchange(ahead, none, make_peer("a", 1), {}, &second, later);
    CHECK(merge(behind, none, rest, later));
    CHECK(behind.placements.at("svc").version == 4);
    CHECK(behind.seats.at("y/0").holder == "n#1");
    const Exchange quiet = make_exchange(behind, none, make_peer("b", 1), {}, nullptr, later);
    const Exchange reply = make_exchange(ahead, none, make_peer("a", 1), {}, &quiet, later);
    CHECK_FALSE(reply.details.has_value());
    CHECK(reply.seats.empty());
}

TEST_CASE("an out-of-service operation is pending until the generation that stores it arrives") {
    ClusterKnowledge knowledge;
    SuspicionList none;
    Exchange news = message_from("b", 1);
    news.pending.push_back({"op1", true, "west"});
    CHECK(merge(knowledge, none, news, START));
    CHECK(is_data_centre_out(make_view(knowledge), "west"));
    Configuration stored = generation(1);
    stored.applied_operations = {"op1"};
    stored.out_data_centres = {"west"};
    adopt(knowledge, stored);
    CHECK(knowledge.pending.empty());
    CHECK_FALSE(merge(knowledge, none, news, START));
    Configuration back = stored;
    back.generation = 2;
    back.out_data_centres.clear();
    adopt(knowledge, back);
    CHECK_FALSE(merge(knowledge, none, news, START));
    CHECK_FALSE(is_data_centre_out(make_view(knowledge), "west"));
}

TEST_CASE("only a later incarnation ends a node's epochs, and only after its requests are over") {
    ClusterKnowledge knowledge;
    SuspicionList none;
    merge(knowledge, none, message_from("a", 1), START);
    const std::vector<SeatUse> uses = {{"a#2", 7}};
    note_missing(knowledge, uses, START);
    CHECK(known_gone(knowledge, "x/0", uses, from_ms(1000), START + from_ms(5000)).empty());
    merge(knowledge, none, message_from("a", 3), START);
    note_missing(knowledge, uses, START);
    CHECK(known_gone(knowledge, "x/0", uses, from_ms(1000), START + from_ms(999)).empty());
    CHECK(known_gone(knowledge, "x/0", uses, from_ms(1000), START + from_ms(1000)) == uses);
}

TEST_CASE("a late message of an ended incarnation does not replace its successor") {
    ClusterKnowledge knowledge;
    SuspicionList none;
    merge(knowledge, none, message_from("a", 3), START);
    merge(knowledge, none, message_from("a", 2), START);
    CHECK(knowledge.peers.at("a").node == "a#3");
}

TEST_CASE("a node without contact to platform and peers is isolated") {
    ClusterKnowledge knowledge;
    SuspicionList none;
    const Peer self = make_peer("a", 1);
    CHECK_FALSE(is_isolated(knowledge, self, from_ms(4000), START));
    merge(knowledge, none, message_from("b", 1), START);
    CHECK_FALSE(is_isolated(knowledge, self, from_ms(4000), START + from_ms(3999)));
    CHECK(is_isolated(knowledge, self, from_ms(4000), START + from_ms(4000)));
    knowledge.platform_heard = START + from_ms(3000);
    CHECK_FALSE(is_isolated(knowledge, self, from_ms(4000), START + from_ms(4000)));
}

TEST_CASE("a node without direct contact is known to be alive from reports of other nodes") {
    ClusterKnowledge knowledge;
    SuspicionList none;
    Exchange news = message_from("b", 1);
    news.alive.push_back({"c", 4, 2000, true});
    merge(knowledge, none, news, START);
    Peer self = make_peer("a", 1);
    self.reaches_platform = true;
    CHECK(live_nodes(knowledge, self, START) == std::vector<std::string>{"a#1", "b#1", "c#4"});
    CHECK(seat_candidates(knowledge, self, START) == std::vector<std::string>{"a#1", "c#4"});
    CHECK(live_nodes(knowledge, self, START + from_ms(8000)).size() == 2);
    // An older report does not move the time forward, and a report does not count as direct
    // contact.
    news.alive[0].age_ms = 9000;
    merge(knowledge, none, news, START + from_ms(1000));
    CHECK(live_nodes(knowledge, self, START + from_ms(8500)).size() == 2);
    CHECK(knowledge.heard_from.count("c") == 0);
}

TEST_CASE("an empty host list is treated as a fault of its source and changes nothing") {
    ClusterKnowledge knowledge;
    Peer leaving = make_peer("h", 0);
    leaving.leaving = true;
    adopt_hosts(knowledge, {leaving}, START);
    adopt_hosts(knowledge, {}, START);
    CHECK(knowledge.leaving_hosts.count("h") == 1);
}

TEST_CASE("a gossip message survives encoding and decoding; another protocol version is refused") {
    Exchange exchange = message_from("a", 4);
    exchange.seats.push_back({"x/0", SeatRecord{"a#4", "addr", 3, 9, 32, false, {{"b#1", 2}}}});
    exchange.left_seats.push_back({"x/1", 8});
    exchange.pending.push_back({"op", false, "host-1"});
    exchange.suspicions.push_back({~0ULL, Standing::convicted, from_ms(10)});
    exchange.configuration = generation(3);
    const Result<Exchange> read = decode_exchange(encode(exchange));
    REQUIRE(has_value(read));
    CHECK(value_of(read).seats == exchange.seats);
    CHECK(value_of(read).left_seats == exchange.left_seats);
    CHECK(value_of(read).pending == exchange.pending);
    CHECK(value_of(read).suspicions == exchange.suspicions);
    CHECK(value_of(read).configuration == exchange.configuration);
    exchange.protocol = PEER_PROTOCOL_VERSION + 1;
    const Result<Exchange> refused = decode_exchange(encode(exchange));
    REQUIRE_FALSE(has_value(refused));
    CHECK(error_of(refused).message.find("protocol 2") != std::string::npos);
}
