// The relay's workers when target groups open and close and placements change.
#include <catch2/catch.hpp>

#include "node/relay.h"

using namespace ebonymount;

namespace {

const std::string TARGET_GROUP = "x/0";

NodeSettings make_settings() {
    NodeSettings settings;
    settings.host = "h";
    settings.data_centre = "x";
    settings.peer_address = "127.0.0.1:1";
    return settings;
}

Placement placed_at(const std::string& address, std::int64_t version) {
    Placement placement;
    placement.service = "svc";
    placement.version = version;
    placement.targets.push_back({"t", "x", "target-host", address, false});
    return placement;
}

void publish(NodeState& state, const Placement& placement) {
    state.update_cluster([&placement](ClusterState& cluster, QuarantineList&) {
        Configuration configuration;
        configuration.generation = 1;
        configuration.groups_per_data_centre = 1;
        configuration.rows.emplace_back();
        configuration.rows.back().service = "svc";
        adopt(cluster, configuration);
        return adopt(cluster, placement);
    });
}

}  // namespace

TEST_CASE("a handover's admission state is used once: a target that moves afterwards starts cold") {
    NodeState state(make_settings(), 1);
    Relay relay(state);
    publish(state, placed_at("127.0.0.1:9", 1));
    AdmissionState warm;
    warm.stage = WARM_STAGE;
    relay.open_group(TARGET_GROUP, {{"t", warm}});
    REQUIRE(relay.status().size() == 1);
    CHECK(relay.status().front().admission.stage == WARM_STAGE);
    relay.apply_view();
    CHECK(relay.status().front().admission.stage == WARM_STAGE);
    publish(state, placed_at("127.0.0.1:10", 2));
    relay.apply_view();
    REQUIRE(relay.status().size() == 1);
    CHECK(relay.status().front().admission.stage == 0);
}

TEST_CASE("a closed target group has no workers") {
    NodeState state(make_settings(), 1);
    Relay relay(state);
    publish(state, placed_at("127.0.0.1:9", 1));
    relay.open_group(TARGET_GROUP, {});
    REQUIRE(relay.status().size() == 1);
    REQUIRE(relay.close_group(TARGET_GROUP, from_ms(1000)).has_value());
    relay.apply_view();
    CHECK(relay.status().empty());
}
