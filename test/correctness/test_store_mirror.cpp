// Store updates relayed between nodes: the mirror accepts only newer data, whatever its source.
#include <catch2/catch.hpp>

#include "base/random.h"
#include "front/store_mirror.h"

namespace ebonymount {
namespace {

using platform::Kind;

const Time NOW = Time{} + from_ms(1000000);

platform::StoredObject object(const std::string& name, std::int64_t revision,
                              bool removed = false) {
    platform::StoredObject made;
    made.name = name;
    made.revision = revision;
    made.removed = removed;
    made.spec = "{\"n\":" + std::to_string(revision) + "}";
    return made;
}

KindUpdate list(std::int64_t revision, std::vector<platform::StoredObject> objects) {
    return {Kind::targets, true, false, {UNKNOWN_ERA, revision}, std::move(objects)};
}

KindUpdate changes(std::int64_t revision, std::vector<platform::StoredObject> objects) {
    return {Kind::targets, false, false, {UNKNOWN_ERA, revision}, std::move(objects)};
}

KindUpdate in_era(std::int64_t era, KindUpdate update) {
    update.position.era = era;
    return update;
}

std::vector<std::string> names_in(const StoreMirror& mirror) {
    std::vector<std::string> names;
    for (const auto& [name, kept] : mirror.at(Kind::targets).objects) {
        names.push_back(name);
    }
    return names;
}

}  // namespace

TEST_CASE("an older list or change reverts nothing") {
    StoreMirror mirror;
    CHECK(merge_update(mirror, list(10, {object("a", 4), object("b", 9)}), NOW).has_value());
    CHECK(merge_update(mirror, changes(12, {object("b", 11, true), object("c", 12)}), NOW)
              .has_value());
    CHECK(names_in(mirror) == std::vector<std::string>{"a", "c"});
    CHECK_FALSE(merge_update(mirror, list(10, {object("a", 4), object("b", 9)}), NOW).has_value());
    CHECK_FALSE(merge_update(mirror, changes(12, {object("c", 12)}), NOW).has_value());
    CHECK_FALSE(merge_update(mirror, changes(8, {object("a", 3, true)}), NOW).has_value());
    CHECK(names_in(mirror) == std::vector<std::string>{"a", "c"});
    CHECK(position_of(mirror, Kind::targets).revision == 12);
}

TEST_CASE("a change that is received twice is passed on once") {
    StoreMirror mirror;
    merge_update(mirror, list(10, {object("a", 4)}), NOW);
    const std::optional<KindUpdate> first =
        merge_update(mirror, changes(13, {object("a", 12), object("b", 13)}), NOW);
    const std::optional<KindUpdate> second =
        merge_update(mirror, changes(14, {object("b", 13), object("a", 14)}), NOW);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->objects.size() == 2);
    CHECK(second->objects == std::vector<platform::StoredObject>{object("a", 14)});
}

// Guards against changes that were made together and lose their order: a removal is dropped, and
// what it removed stays.
TEST_CASE("an object that is written and removed within one batch is gone") {
    StoreMirror mirror;
    merge_update(mirror, list(10, {object("a", 4)}), NOW);
    const std::optional<KindUpdate> fresh = merge_update(
        mirror, changes(14, {object("b", 11), object("b", 12, true), object("a", 13, true)}), NOW);
    REQUIRE(fresh.has_value());
    CHECK(fresh->objects.size() == 3);
    CHECK(names_in(mirror).empty());
}

// Guards against any series of changes after which a node, or one that follows it, has other
// objects than the store.
TEST_CASE("mirrors hold what the store holds, however its changes are batched") {
    Random random(8101);
    for (int round = 0; round < 300; ++round) {
        StoreMirror mirror;
        StoreMirror follower;
        std::map<std::string, platform::StoredObject> store;
        std::int64_t revision = 1;
        merge_update(mirror, list(revision, {}), NOW);
        merge_update(follower, list(revision, {}), NOW);
        for (int batch = 0; batch < 12; ++batch) {
            std::vector<platform::StoredObject> made;
            const std::size_t count = random() % 6;
            while (made.size() < count) {
                const std::string name(1, static_cast<char>('a' + random() % 3));
                const bool removes = store.count(name) > 0 && random() % 2 == 0;
                made.push_back(object(name, ++revision, removes));
                if (removes) {
                    store.erase(name);
                } else {
                    store[name] = made.back();
                }
            }
            const std::optional<KindUpdate> fresh =
                merge_update(mirror, changes(revision, made), NOW);
            if (fresh.has_value()) {
                merge_update(follower, *fresh, NOW);
            }
            INFO(round << " " << batch);
            REQUIRE(mirror.at(Kind::targets).objects == store);
            REQUIRE(follower.at(Kind::targets).objects == store);
        }
    }
}

// Guards against deciding by revisions alone what is newer: a store that has returned from an older
// copy gives lower revisions to newer data.
TEST_CASE("a list of a later era replaces the copy, and nothing of an earlier era is accepted") {
    StoreMirror mirror;
    merge_update(mirror, in_era(1, list(40, {object("a", 4), object("b", 39)})), NOW);
    const std::optional<KindUpdate> returned =
        merge_update(mirror, in_era(2, list(20, {object("a", 4), object("c", 20)})), NOW);
    REQUIRE(returned.has_value());
    CHECK(returned->after_return);
    CHECK(names_in(mirror) == std::vector<std::string>{"a", "c"});
    CHECK(position_of(mirror, Kind::targets) == StorePosition{2, 20});
    CHECK_FALSE(merge_update(mirror, in_era(1, list(41, {object("b", 39)})), NOW).has_value());
    CHECK_FALSE(merge_update(mirror, in_era(1, changes(42, {object("b", 42)})), NOW).has_value());
    // Changes alone do not say what the return has undone.
    CHECK_FALSE(merge_update(mirror, in_era(3, changes(50, {object("b", 50)})), NOW).has_value());
    CHECK(names_in(mirror) == std::vector<std::string>{"a", "c"});
    const std::optional<KindUpdate> change =
        merge_update(mirror, in_era(2, changes(21, {object("a", 21)})), NOW);
    REQUIRE(change.has_value());
    CHECK_FALSE(change->after_return);
}

// Guards against a position that stays behind: a list that says nothing new is dropped, and changes
// of the new era after it as well.
TEST_CASE("a list of a later era is accepted although its objects are the same") {
    for (const Kind kind : {Kind::targets, Kind::nodes}) {
        StoreMirror mirror;
        KindUpdate same = in_era(1, list(40, {object("a", 4)}));
        same.kind = kind;
        merge_update(mirror, same, NOW);
        same.position = {2, 30};
        CHECK(merge_update(mirror, same, NOW).has_value());
        CHECK(position_of(mirror, kind) == StorePosition{2, 30});
    }
}

// Guards against nodes of two versions of this program that cannot follow each other: the earlier
// one states no era and reads none.
TEST_CASE("updates without an era are compared by revisions") {
    StoreMirror mirror;
    merge_update(mirror, in_era(3, list(10, {object("a", 4)})), NOW);
    CHECK(merge_update(mirror, changes(11, {object("b", 11)}), NOW).has_value());
    CHECK(merge_update(mirror, list(12, {object("b", 11)}), NOW).has_value());
    CHECK_FALSE(merge_update(mirror, list(9, {}), NOW).has_value());
    CHECK(position_of(mirror, Kind::targets) == StorePosition{3, 12});
    // Followers that read no eras get what is newer by its revision, and so do followers of a
    // reader that states none.
    const auto follower = [](std::int64_t era, std::int64_t revision, bool reads_eras) {
        return FollowRequest{{{Kind::targets, {era, revision}}}, reads_eras, true};
    };
    CHECK(lists_of(mirror, follower(UNKNOWN_ERA, 12, false), NOW).empty());
    CHECK(lists_of(mirror, follower(UNKNOWN_ERA, 11, false), NOW).size() == 1);
    StoreMirror without_era;
    merge_update(without_era, list(10, {object("a", 4)}), NOW);
    CHECK(lists_of(without_era, follower(3, 9, true), NOW).size() == 1);
    CHECK(lists_of(without_era, follower(3, 10, true), NOW).empty());
}

// Guards against a node that drops all changes after it has moved from a reader without eras to one
// with eras: its copy has no era, and it gets no list.
TEST_CASE("a follower whose copy came without an era gets a list from a reader that states one") {
    StoreMirror reader;
    merge_update(reader, in_era(1, list(10, {object("a", 4)})), NOW);
    StoreMirror mirror;
    merge_update(mirror, list(10, {object("a", 4)}), NOW);
    const FollowRequest request =
        decode_follow_request(encode(FollowRequest{positions_of(mirror), true, true}));
    REQUIRE(lists_of(reader, request, NOW).size() == 1);
    CHECK(merge_update(mirror, lists_of(reader, request, NOW).front(), NOW).has_value());
    const KindUpdate change = in_era(1, changes(11, {object("b", 11)}));
    CHECK(merge_update(mirror, change, NOW).has_value());
}

// Guards against a removed object that comes back with a late change, such as one from a second
// stream.
TEST_CASE("a change that the copy already covers does not bring back what was removed") {
    StoreMirror mirror;
    merge_update(mirror, list(10, {object("a", 4)}), NOW);
    const KindUpdate creation = changes(12, {object("b", 12)});
    merge_update(mirror, creation, NOW);
    merge_update(mirror, changes(13, {object("b", 13, true)}), NOW);
    CHECK_FALSE(merge_update(mirror, creation, NOW).has_value());
    CHECK(names_in(mirror) == std::vector<std::string>{"a"});
    CHECK(merge_update(mirror, changes(14, {object("b", 14)}), NOW).has_value());
}

// Guards against any series of changes, returns and late messages after which a node, or one that
// follows it, has other objects than the store.
TEST_CASE("mirrors hold what the store holds, however often it returns from an older copy") {
    Random random(4901);
    for (int round = 0; round < 300; ++round) {
        StoreMirror mirror;
        StoreMirror follower;
        std::map<std::string, platform::StoredObject> store;
        StorePosition position{1, 1};
        std::map<std::string, platform::StoredObject> copy;
        std::int64_t copied_revision = 1;
        std::vector<KindUpdate> sent;
        merge_update(mirror, in_era(1, list(1, {})), NOW);
        merge_update(follower, in_era(1, list(1, {})), NOW);
        for (int batch = 0; batch < 20; ++batch) {
            const std::size_t action = random() % 5;
            KindUpdate update = in_era(position.era, changes(position.revision, {}));
            if (action == 0) {
                copy = store;
                copied_revision = position.revision;
            } else if (action == 1) {
                store = copy;
                position = {position.era + 1, copied_revision};
                update = in_era(position.era, list(position.revision, {}));
                for (const auto& [name, kept] : store) {
                    update.objects.push_back(kept);
                }
            } else {
                const std::string name(1, static_cast<char>('a' + random() % 3));
                const bool removes = store.count(name) > 0 && random() % 2 == 0;
                update.objects = {object(name, ++position.revision, removes)};
                update.position = position;
                if (removes) {
                    store.erase(name);
                } else {
                    store[name] = update.objects.front();
                }
            }
            sent.push_back(update);
            const std::optional<KindUpdate> fresh = merge_update(mirror, update, NOW);
            // Earlier messages arrive again, at either node.
            merge_update(mirror, sent[random() % sent.size()], NOW);
            if (sent.size() > 1) {
                merge_update(follower, sent[random() % (sent.size() - 1)], NOW);
            }
            if (fresh.has_value()) {
                merge_update(follower, *fresh, NOW);
            }
            INFO(round << " " << batch);
            REQUIRE(mirror.at(Kind::targets).objects == store);
            REQUIRE(follower.at(Kind::targets).objects == store);
        }
    }
}

TEST_CASE("changes before the first list are ignored") {
    StoreMirror mirror;
    CHECK_FALSE(merge_update(mirror, changes(5, {object("a", 5)}), NOW).has_value());
    CHECK(position_of(mirror, Kind::targets).revision == 0);
    CHECK_FALSE(is_complete(mirror));
}

TEST_CASE("an unchanged list of nodes is dropped, one of targets is passed on") {
    StoreMirror mirror;
    KindUpdate nodes = list(10, {object("n", 4)});
    nodes.kind = Kind::nodes;
    CHECK(merge_update(mirror, nodes, NOW).has_value());
    nodes.position.revision = 11;
    CHECK_FALSE(merge_update(mirror, nodes, NOW).has_value());
    CHECK(merge_update(mirror, list(10, {object("a", 4)}), NOW).has_value());
    CHECK(merge_update(mirror, list(11, {object("a", 4)}), NOW).has_value());
}

TEST_CASE("a list sent to a follower soon after an outage is marked as read after an outage") {
    StoreMirror mirror;
    KindUpdate after_outage = list(10, {object("a", 4)});
    after_outage.after_outage = true;
    merge_update(mirror, after_outage, NOW);
    CHECK(lists_of(mirror, FollowRequest{}, NOW + from_ms(1500)).front().after_outage);
    CHECK_FALSE(lists_of(mirror, FollowRequest{}, NOW + from_ms(2500)).front().after_outage);
    CHECK(lists_of(mirror, FollowRequest{}, NOW).front().objects == after_outage.objects);
}

TEST_CASE("messages between nodes are decoded as they were encoded") {
    StoreUpdate update;
    update.stated = {from_ms(120), from_ms(7000)};
    update.store_failed_recently = true;
    update.origin = "node-1";
    update.change = in_era(4, changes(12, {object("a", 11), object("b", 12, true)}));
    const std::string line = encode(update);
    CHECK(line.back() == '\n');
    CHECK(std::count(line.begin(), line.end(), '\n') == 1);
    const Result<StoreUpdate> decoded =
        decode_store_update(std::string_view(line).substr(0, line.size() - 1));
    REQUIRE(has_value(decoded));
    CHECK(value_of(decoded) == update);
    const std::string heartbeat = encode({std::nullopt, {from_ms(3), std::nullopt}, false});
    REQUIRE(has_value(decode_store_update(heartbeat)));
    CHECK_FALSE(value_of(decode_store_update(heartbeat)).change.has_value());
    CHECK_FALSE(value_of(decode_store_update(heartbeat)).stated.written.has_value());
}

// Guards against lists that nodes pass round and round when they follow each other.
TEST_CASE("a list that is already known is not passed on") {
    KindUpdate list;
    list.kind = platform::Kind::targets;
    list.is_list = true;
    list.position.revision = 12;
    list.objects = {object("a", 11)};
    StoreMirror mirror;
    CHECK(merge_update(mirror, list, NOW).has_value());
    CHECK_FALSE(merge_update(mirror, list, NOW).has_value());
    list.after_outage = true;
    CHECK(merge_update(mirror, list, NOW).has_value());
    CHECK_FALSE(merge_update(mirror, list, NOW).has_value());
    list.position.revision = 13;
    CHECK(merge_update(mirror, list, NOW).has_value());
}

TEST_CASE("an offer names a node that can be followed, or it is ignored") {
    const Member node = {"node-1", "east", "127.0.0.1:7000"};
    CHECK(decode_member(encode(node)) == node);
    for (const std::string text :
         {"", "x", "[]", "{}", R"({"node": 1, "data_centre": "east", "address": "127.0.0.1:7000"})",
          R"({"node": "n", "data_centre": "east", "address": "host:7000"})"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_member(text).has_value());
    }
}

TEST_CASE("a malformed message is an error") {
    for (const std::string line :
         {"", "x", "[]", "{}", "{\"age_us\":\"soon\"}", "{\"age_us\":-1,\"trouble\":false}",
          "{\"age_us\":1,\"trouble\":false,\"written_us\":9e18}",
          "{\"age_us\":1,\"trouble\":false,\"kind\":99}",
          "{\"age_us\":1,\"trouble\":false,\"kind\":1,\"objects\":[1]}",
          R"({"age_us":1,"trouble":false,"kind":1,"list":true,"after_outage":false,"revision":1,
              "era":9007199254740992,"objects":[]})",
          R"({"age_us":1,"trouble":false,"kind":1,"list":true,"after_outage":false,"revision":1,
              "era":"x","objects":[]})"}) {
        CHECK_FALSE(has_value(decode_store_update(line)));
    }
}

TEST_CASE("a new follower gets the lists of which it has no or an older copy") {
    StoreMirror mirror;
    merge_update(mirror, {Kind::targets, true, false, {UNKNOWN_ERA, 7}, {}}, NOW);
    merge_update(mirror, {Kind::config, true, false, {2, 9}, {}}, NOW);
    for (const bool reads_eras : {false, true}) {
        const FollowRequest sent = {
            {{Kind::config, {reads_eras ? 2 : UNKNOWN_ERA, 9}}}, reads_eras, true};
        CHECK(decode_follow_request(encode(sent)) == sent);
    }
    const FollowRequest request = {positions_of(mirror), true, true};
    CHECK(lists_of(mirror, request, NOW).empty());
    merge_update(mirror, {Kind::config, true, false, {UNKNOWN_ERA, 10}, {}}, NOW);
    REQUIRE(lists_of(mirror, request, NOW).size() == 1);
    CHECK(lists_of(mirror, request, NOW).front().kind == Kind::config);
    // Whatever cannot be read counts as no copy, so everything is sent.
    for (const char* text :
         {"", "null", "[]", "{\"revisions\":[[99,1],[\"a\",2],7,[1]]}", "{\"revisions\":7}", "\xff",
          R"({"revisions":[],"eras":[[0,2],[1,2]]})",
          R"({"revisions":[[0,8]],"eras":[[0,-7],[0,9007199254740992]]})"}) {
        CHECK(lists_of(mirror, decode_follow_request(text), NOW).size() == 2);
    }
}

TEST_CASE("a compressed message is smaller and decoded as it was encoded") {
    KindUpdate list = {Kind::targets, true, false, {UNKNOWN_ERA, 7}, {}};
    for (int i = 0; i < 600; ++i) {
        platform::StoredObject object;
        object.name = "i-" + std::to_string(i);
        object.revision = i + 1;
        object.spec = R"({"service":"s","address":"10.0.0.1:80","state":"ready"})";
        list.objects.push_back(object);
    }
    const StoreUpdate update = {list, {from_ms(5), std::nullopt}, true};
    const std::string line = encode_compressed(update);
    CHECK(line.find('\n') == line.size() - 1);
    CHECK(line.size() < encode(update).size() / 4);
    const Result<StoreUpdate> decoded = decode_store_update(line.substr(0, line.size() - 1));
    REQUIRE(has_value(decoded));
    CHECK(value_of(decoded) == update);
    // Any change of the text gives an error or another message, but never ends the process.
    for (std::size_t at = 12; at < line.size() - 4; at += 7) {
        std::string damaged = line.substr(0, line.size() - 1);
        damaged[at] = damaged[at] == 'A' ? 'B' : 'A';
        decode_store_update(damaged);
        decode_store_update(damaged.substr(0, at) + "\"}");
    }
}

}  // namespace ebonymount
