// Messages between gateway and relay.
#include <catch2/catch.hpp>

#include "io/wire.h"

using namespace ebonymount;

TEST_CASE("a query's body, remaining time and items survive encoding and decoding") {
    WireQuery query;
    query.query_id = "q";
    query.service = "svc";
    query.snapshot = "v1";
    query.key = "k";
    query.body = std::string("\0binary", 7);
    query.idempotent = false;
    query.remaining_us = 1234;
    query.items = {{1, "s0", "t0"}, {2, "s1", "t1"}};
    const Result<WireQuery> read = decode_query(encode(query));
    REQUIRE(has_value(read));
    CHECK(value_of(read).body == query.body);
    CHECK(value_of(read).remaining_us == 1234);
    REQUIRE(value_of(read).items.size() == 2);
    CHECK(value_of(read).items[1].target == "t1");
}

TEST_CASE("outcomes are decoded whole wherever the stream is split") {
    std::string stream;
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        WireOutcome outcome;
        outcome.attempt = attempt;
        outcome.result = std::string(attempt * 10, 'x');
        stream += encode(outcome);
    }
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        OutcomeReader reader;
        std::vector<std::uint64_t> attempts;
        for (std::size_t start = 0; start < stream.size(); start += piece) {
            const Result<Done> fed =
                reader.feed(std::string_view(stream).substr(start, piece),
                            [&attempts](const WireOutcome& outcome) {
                                CHECK(outcome.result.size() == outcome.attempt * 10);
                                attempts.push_back(outcome.attempt);
                            });
            REQUIRE(has_value(fed));
        }
        CHECK(attempts == std::vector<std::uint64_t>{1, 2, 3});
    }
}

TEST_CASE("every truncated query is rejected") {
    WireQuery query;
    query.items = {{1, "s0", "t0"}};
    const std::string bytes = encode(query);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(has_value(decode_query(std::string_view(bytes).substr(0, length))));
    }
}

TEST_CASE("queries of another protocol version and outcomes with unknown codes are rejected") {
    WireQuery query;
    query.protocol = WireQuery::PEER_WIRE_VERSION + 1;
    CHECK(error_of(decode_query(encode(query))).code == ErrorCode::protocol);
    WireOutcome outcome;
    outcome.status = 200;
    CHECK_FALSE(has_value(to_attempt_outcome(outcome)));
    outcome.status = 0;
    outcome.verdict = 9;
    CHECK_FALSE(has_value(to_attempt_outcome(outcome)));
}
